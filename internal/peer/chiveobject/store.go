// Package chiveobject implements the client of the platform's object store through the
// S3 API.
package chiveobject

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveanswer"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverow"
)

// Error is the class of errors of this package.
var Error = errs.Class("object store")

// maxObjectSize is the number of bytes after which an object is cut off when read.
const maxObjectSize = 16 << 20

// Settings holds the address of the object store and the credentials for it.
type Settings struct {
	URL    string
	Bucket string
	Region string
	// Access and Secret are the access key ID and the secret access key.
	Access string
	Secret string
}

// Store is a client of one bucket. It implements chiveconf.ObjectStore. It does not
// retry requests.
type Store struct {
	bucket string
	client *s3.Client
}

// New returns a client of the bucket that s names.
func New(s Settings) *Store {
	client := s3.New(s3.Options{
		BaseEndpoint:               aws.String(s.URL),
		Region:                     s.Region,
		UsePathStyle:               true,
		Credentials:                credentials.NewStaticCredentialsProvider(s.Access, s.Secret, ""),
		HTTPClient:                 &http.Client{Transport: chiveanswer.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}, &net.Dialer{})},
		Retryer:                    aws.NopRetryer{},
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &Store{bucket: s.Bucket, client: client}
}

// Get implements chiveconf.ObjectStore.Get. Its error wraps chiverow.ErrNotFound if
// the object does not exist.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	out, err := s.client.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(s.bucket), Key: aws.String(name)})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, fmt.Errorf("object %q %w", name, chiverow.ErrNotFound)
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = out.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(out.Body, maxObjectSize))
	return data, Error.Wrap(err)
}

// Put implements chiveconf.ObjectStore.Put.
func (s *Store) Put(ctx context.Context, name string, data []byte) error {
	_, err := s.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(s.bucket),
		Key:    aws.String(name),
		Body:   bytes.NewReader(data),
	})
	return Error.Wrap(err)
}
