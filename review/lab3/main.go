// Command lab3 plays the scripts of the third review: the project's entry VMs as processes, in front of
// stand-ins of the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(l *lab, trouble bool) (broken bool, err error){}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE RECORD")
		return 2
	}
	l, err := newLab()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer l.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		l.close()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](l, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if err := l.writeRecord(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, n := range l.notes {
		fmt.Println(n)
	}
	if broken {
		fmt.Println("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
