// Command benchlink is the adapter between the simulator and package decide. It
// hosts a policy for each simulated relay, reads frames of events on standard
// input, and writes a frame of the resulting actions to standard output for
// each. It contains no policy of its own.
package main

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"os"
)

func main() {
	log.SetFlags(0)
	log.SetPrefix("benchlink: ")
	in := bufio.NewReaderSize(os.Stdin, 1<<20)
	out := bufio.NewWriterSize(os.Stdout, 1<<20)
	if err := serve(in, out); err != nil {
		log.Fatal(err)
	}
}

// serve replies to frames until the input ends. It returns nil if the input ends between two frames.
func serve(in io.Reader, out *bufio.Writer) error {
	h := newHost()
	for n := 0; ; n++ {
		reply, err := h.handleBatch(in)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", n, err)
		}
		if _, err := out.Write(reply); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
}
