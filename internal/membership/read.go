package membership

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/go-faster/jx"
)

// readBufferSize is the number of bytes that are read at once, and after which a long list reports progress again.
const readBufferSize = 64 << 10

// Header holds the fields of a list besides its members. HasRevision is set once the revision has been read.
type Header struct {
	Revision    int64
	Complete    bool
	HasRevision bool
}

// Read reads one list and passes its entries to handle in order. It needs little memory however long the list is. It
// stops at the first error of handle. An invalid entry is an error, or is skipped if lenient is set.
func Read(in io.Reader, lenient bool, handle func(h *Header, e *Entry) error) (Header, error) {
	d := jx.Decode(in, readBufferSize)
	h, err := readList(d, lenient, handle)
	if err == nil {
		err = CheckEnd(d)
	}
	return h, err
}

// ReadEmbedded reads a list that is part of a larger JSON document, as Read does with lenient set. The list may lack
// the key members.
func ReadEmbedded(d *jx.Decoder, handle func(h *Header, e *Entry) error) (Header, error) {
	return readList(d, true, handle)
}

// CheckEnd returns an error if anything but white space follows.
func CheckEnd(d *jx.Decoder) error {
	if d.Next() == jx.Invalid {
		if err := d.Skip(); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
	}
	return errors.New("unexpected data after the end of the JSON value")
}

func readList(d *jx.Decoder, lenient bool, handle func(h *Header, e *Entry) error) (h Header, err error) {
	entry := &Entry{}
	hasMembers := false
	readMember := func(d *jx.Decoder) error {
		if err := entry.read(d); err != nil {
			return err
		}
		if err := entry.validate(); err != nil {
			if lenient {
				return nil
			}
			return err
		}
		return handle(&h, entry)
	}
	err = d.ObjBytes(func(d *jx.Decoder, key []byte) (err error) {
		if d.Next() == jx.Null {
			return d.Null()
		}
		switch string(key) {
		case "revision":
			h.Revision, err = d.Int64()
			h.HasRevision = err == nil
		case "complete":
			h.Complete, err = d.Bool()
		case "members":
			hasMembers = true
			err = d.Arr(readMember)
		default:
			err = d.Skip()
		}
		return err
	})
	if err == nil && !hasMembers && !lenient {
		err = errors.New("the list has no members array")
	}
	return h, err
}

// read reads an entry. If a key is repeated, its last value counts.
func (e *Entry) read(d *jx.Decoder) error {
	e.ID, e.HostPort, e.Locality, e.Flavor = e.ID[:0], e.HostPort[:0], e.Locality[:0], e.Flavor[:0]
	e.Dest, e.Phase, e.Rate = 0, NoPhase, 0
	return d.ObjBytes(func(d *jx.Decoder, key []byte) (err error) {
		if d.Next() == jx.Null {
			return d.Null()
		}
		switch string(key) {
		case "id":
			e.ID, err = d.StrAppend(e.ID[:0])
		case "host_port":
			e.HostPort, err = d.StrAppend(e.HostPort[:0])
		case "locality":
			e.Locality, err = d.StrAppend(e.Locality[:0])
		case "flavor":
			e.Flavor, err = d.StrAppend(e.Flavor[:0])
		case "cell":
			e.Dest, err = d.Int64()
		case "phase":
			var phaseName []byte
			if phaseName, err = d.StrBytes(); err == nil {
				e.Phase = parsePhase(phaseName)
			}
		case "size":
			e.Rate, err = d.Float64()
		default:
			err = d.Skip()
		}
		return err
	})
}

// WatchReader reads the stream of a watch. The stream consists of empty lines, which are heartbeats, and of lists. A
// list takes one line, or several lines if it is indented, from a line with just "{" to a line with just "}".
type WatchReader struct {
	in         *bufio.Reader
	onProgress func() // called for valid data, see NewWatchReader

	atFirstLine, done, indented bool
	midLine                     bool // within a line that is longer than the buffer
	buffered                    []byte
	sinceProgress               int
	streamErr                   error // the error that ended the stream within a list
	formatErr                   error // the error in the line structure of a list
}

// NewWatchReader creates a WatchReader for in. It calls onProgress at each heartbeat, at the end of each list, after
// the first line of an indented one, and after each readBufferSize bytes of a long list.
func NewWatchReader(in io.Reader, onProgress func()) *WatchReader {
	return &WatchReader{in: bufio.NewReaderSize(in, readBufferSize), onProgress: onProgress}
}

var errUnterminatedList = errors.New("the list is not terminated")

// Next advances to the next line. It returns true if a list begins there, which Read then returns, and false for an
// empty line. An error means that the stream has ended.
func (l *WatchReader) Next() (list bool, err error) {
	for {
		c, err := l.in.ReadByte()
		if err != nil {
			return false, err
		}
		switch c {
		case ' ', '\t', '\r':
		case '\n':
			l.onProgress()
			return false, nil
		default:
			l.in.UnreadByte()
			l.atFirstLine, l.done, l.indented, l.midLine, l.buffered, l.sinceProgress =
				true, false, false, false, nil, 0
			l.streamErr, l.formatErr = nil, nil
			return true, nil
		}
	}
}

// StreamErr returns the error that ended the stream within a list, or nil. The next watch sends that list again.
func (l *WatchReader) StreamErr() error { return l.streamErr }

// Read implements io.Reader for the bytes of the list that Next has found.
func (l *WatchReader) Read(p []byte) (int, error) {
	if len(l.buffered) == 0 {
		if err := l.readLine(); err != nil {
			return 0, err
		}
	}
	n := copy(p, l.buffered)
	l.buffered = l.buffered[n:]
	return n, nil
}

// readLine reads the next part of the list, at most to the end of a line.
func (l *WatchReader) readLine() error {
	switch {
	case l.streamErr != nil:
		return io.ErrUnexpectedEOF
	case l.formatErr != nil:
		return l.formatErr
	case l.done:
		return io.EOF
	}
	text, err := l.in.ReadSlice('\n')
	lineEnded := err == nil
	if !lineEnded && err != bufio.ErrBufferFull {
		l.streamErr = err
		return io.ErrUnexpectedEOF
	}
	line := bytes.TrimRight(text, " \t\r\n")
	switch atLineStart := !l.midLine; {
	case l.atFirstLine && lineEnded && string(line) == "{":
		l.indented = true
	case l.indented && atLineStart && (lineEnded && len(line) == 0 || len(line) > 0 && line[0] == '{'):
		l.formatErr = errUnterminatedList
		return l.formatErr
	case l.indented:
		l.done = lineEnded && atLineStart && string(line) == "}"
	default:
		l.done = lineEnded
	}
	// A long list reports progress by its size. A short one does so only at its end, and at the end of its first line:
	// a watch that stalls within a list must not count as alive.
	if l.sinceProgress += len(text); l.sinceProgress >= readBufferSize || l.atFirstLine && lineEnded || l.done {
		l.sinceProgress = 0
		l.onProgress()
	}
	l.atFirstLine, l.midLine, l.buffered = false, !lineEnded, text
	return nil
}

// DiscardRest reads and discards the rest of a list.
func (l *WatchReader) DiscardRest() error {
	_, err := io.Copy(io.Discard, l)
	return err
}

// progressReader calls onProgress after each readBufferSize bytes that are read.
type progressReader struct {
	in            io.Reader
	onProgress    func()
	sinceProgress int
}

// WithProgress returns a reader for in that calls onProgress after each readBufferSize bytes.
func WithProgress(in io.Reader, onProgress func()) io.Reader {
	return &progressReader{in: in, onProgress: onProgress}
}

func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.in.Read(b)
	if p.sinceProgress += n; p.sinceProgress >= readBufferSize {
		p.sinceProgress = 0
		p.onProgress()
	}
	return n, err
}

// Receiver receives one list while it is read. The last call is either End or Abort.
type Receiver interface {
	// Entry receives an entry, whose byte slices are valid until Entry returns. applyDrains means that the list is not
	// older than the one in force, so that a drain in it takes effect at once.
	Entry(e *Entry, applyDrains bool) error
	// End means that the whole list was read and is valid.
	End(revision int64, complete bool)
	// Abort means that the list is to be discarded.
	Abort()
}
