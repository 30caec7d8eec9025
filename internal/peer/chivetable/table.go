// Package chivetable implements the client of the platform's transactional table
// service through the DynamoDB API.
package chivetable

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/aws/retry"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveanswer"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverow"
)

// Error is the class of errors of this package.
var Error = errs.Class("table")

// The names of the attributes of a row.
const (
	attributeKey     = "id"
	attributeVersion = "version"
	attributeValue   = "value"
	attributeExpires = "expires"
)

// The conditions of a write: the row does not exist, or has the version :old.
const (
	conditionNotExists = "attribute_not_exists(id)"
	conditionVersionIs = "version = :old"
)

// Settings holds the address of the table service, the name of the table and the
// credentials.
type Settings struct {
	URL    string
	Name   string
	Region string
	// Access and Secret are the access key ID and the secret access key.
	Access string
	Secret string
}

// Table is a client of one table. It implements chiverow.Table. It makes one attempt
// per request.
type Table struct {
	name   string
	client *dynamodb.Client
}

// New returns a client of the table that s names.
func New(s Settings) *Table {
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(s.URL),
		Region:       s.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(s.Access, s.Secret, ""),
		HTTPClient:   &http.Client{Transport: chiveanswer.NewTransport(&http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}, &net.Dialer{})},
		Retryer:      retry.AddWithMaxAttempts(aws.NopRetryer{}, 1),
	})
	return &Table{name: s.Name, client: client}
}

// Get implements chiverow.Table.Get with a strongly consistent read.
func (t *Table) Get(ctx context.Context, key string) (chiverow.Row, error) {
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(t.name),
		Key:            map[string]types.AttributeValue{attributeKey: &types.AttributeValueMemberS{Value: key}},
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return chiverow.Row{}, Error.Wrap(err)
	}
	if len(out.Item) == 0 {
		return chiverow.Row{}, fmt.Errorf("row %q %w", key, chiverow.ErrNotFound)
	}
	return fromItem(key, out.Item)
}

// Version implements chiverow.Table.Version with a strongly consistent read of only the
// version attribute.
func (t *Table) Version(ctx context.Context, key string) (uint64, error) {
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:            aws.String(t.name),
		Key:                  map[string]types.AttributeValue{attributeKey: &types.AttributeValueMemberS{Value: key}},
		ConsistentRead:       aws.Bool(true),
		ProjectionExpression: aws.String(attributeVersion),
	})
	if err != nil {
		return 0, Error.Wrap(err)
	}
	if len(out.Item) == 0 {
		return 0, nil
	}
	return itemVersion(key, out.Item)
}

// Put implements chiverow.Table.Put as a conditional write.
func (t *Table) Put(ctx context.Context, row chiverow.Row) error {
	in := &dynamodb.PutItemInput{
		TableName:           aws.String(t.name),
		Item:                toItem(row),
		ConditionExpression: aws.String(conditionNotExists),
	}
	if row.Version > 1 {
		in.ConditionExpression = aws.String(conditionVersionIs)
		in.ExpressionAttributeValues = map[string]types.AttributeValue{":old": numberAttribute(row.Version - 1)}
	}
	_, err := t.client.PutItem(ctx, in)
	var failed *types.ConditionalCheckFailedException
	if errors.As(err, &failed) {
		return fmt.Errorf("row %q %w", row.Key, chiverow.ErrConflict)
	}
	return Error.Wrap(err)
}

// toItem converts a row. It omits the expiry if it is zero.
func toItem(row chiverow.Row) map[string]types.AttributeValue {
	item := map[string]types.AttributeValue{
		attributeKey:     &types.AttributeValueMemberS{Value: row.Key},
		attributeVersion: numberAttribute(row.Version),
		attributeValue:   &types.AttributeValueMemberB{Value: row.Value},
	}
	if !row.Expires.IsZero() {
		item[attributeExpires] = &types.AttributeValueMemberN{Value: strconv.FormatInt(row.Expires.Unix(), 10)}
	}
	return item
}

// fromItem converts an item, without its expiry.
func fromItem(key string, item map[string]types.AttributeValue) (chiverow.Row, error) {
	n, err := itemVersion(key, item)
	if err != nil {
		return chiverow.Row{}, err
	}
	value, ok := item[attributeValue].(*types.AttributeValueMemberB)
	if !ok {
		return chiverow.Row{}, Error.New("row %q has no value", key)
	}
	return chiverow.Row{Key: key, Version: n, Value: value.Value}, nil
}

// itemVersion returns the version attribute of an item.
func itemVersion(key string, item map[string]types.AttributeValue) (uint64, error) {
	version, ok := item[attributeVersion].(*types.AttributeValueMemberN)
	if !ok {
		return 0, Error.New("row %q has no version", key)
	}
	n, err := strconv.ParseUint(version.Value, 10, 64)
	return n, Error.Wrap(err)
}

func numberAttribute(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}
