// Package wire encodes and decodes the binary frames that the simulator and
// its relay host exchange, and decodes the settings text. It checks every
// length, offset and code in a frame, and contains no policy.
package wire

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
)

// Sizes of the parts of a frame in bytes, and limits on what a frame contains.
const (
	batchHeaderSize = 16
	replyHeaderSize = 8
	eventSize       = 48
	actionSize      = 24
	entrySize       = 24
	maxListNumber   = 15
	maxBodySize     = 1 << 30 // bytes
)

// Codes of events, of the kinds of a list update, and of the status of an
// attempt or a probe. The name in quotes is the protocol's own name of an
// event, which error messages use.
const (
	EvStart             = 10  // "up": a relay starts with a seed and a settings text
	EvListUpdate        = 20  // "sync": a relay receives an update of the endpoint list
	EvMessage           = 30  // "call": a client hands in a message
	EvResponseStarted   = 40  // the response to an attempt has started to arrive
	EvOutcome           = 50  // "resolved": an attempt has ended
	EvWithdraw          = 60  // a message is no longer wanted
	EvTimer             = 70  // a timer has expired
	EvProbeResult       = 80  // "health_result": a probe has ended
	EvDatagram          = 90  // "datagram": a datagram has arrived
	EvStop              = 100 // a relay stops
	EvListEntries       = 110 // "table": defines the entries of a numbered list
	ListCached          = 0   // the whole list, as it was last fetched
	ListFailed          = 1   // the list could not be fetched
	ListFull            = 3   // the whole list
	ListDelta           = 4   // changed entries only
	StatusOK            = 0
	StatusNotSent       = 249 // the attempt never left the relay
	StatusCancelled     = 250
	StatusReset         = 251 // the connection broke
	StatusConnectFailed = 252 // no connection in time
	StatusTimeout       = 253 // no response in time
	StatusRejected      = 254 // the endpoint rejected the call because of its limit
	StatusError         = 255 // the endpoint replied with an error
)

// Codes of actions.
const (
	ActSend   = 20
	ActRefuse = 30 // hands a message back, with a delay after which the client may retry
	ActLog    = 40
	ActWatch  = 50 // subscribes to list updates
	ActTimer  = 60
	ActFail   = 70 // gives up a message
	ActProbe  = 80
	ActFetch  = 90  // fetches the whole list once
	ActError  = 100 // reports that the relay could not start
	ActClose  = 110 // closes the idle connections to an endpoint
	ActCancel = 120 // cancels an attempt
)

// Entry is one endpoint in a list.
type Entry struct {
	Endpoint uint64 // IPv4 address, then the port in the lowest 16 bits
	Zone     uint16
	Kind     uint8
	Dest     uint16
	State    uint8   // 0 removed, 1 ready, 2 draining
	Rate     float32 // nominal capacity of the destination in calls per second
	UpSince  uint64  // microseconds
}

// Event is one decoded event record. Which fields are set depends on Code.
type Event struct {
	Code           uint8
	Relay          uint16
	ListUpdateKind uint8
	ListNumber     uint8
	Status         uint8
	Attempt        uint8
	Settled        bool // no further attempt is needed for the message
	Class          uint16
	Flags          uint16 // bit 0: EstimatedCost is set
	Dest           uint16
	MessageID      uint32
	Tenant         uint32
	TimeLeft       uint32 // microseconds until the message's deadline
	EstimatedCost  uint32 // microseconds
	StatusDetail   uint32 // StatusRejected: Retry-After in milliseconds; StatusNotSent: 1 if no slot was free
	Elapsed        uint32 // microseconds that the attempt or probe took
	Endpoint       uint64
	Key            uint64 // 0 for none
	Token          uint64 // seed of an EvStart, version of an EvListUpdate, token of an EvTimer
	ReportLen      int    // number of values in Report
	Report         [4]float32
	Text           []byte
	Entries        []Entry
}

// Action is one action record to encode. Which fields are used depends on Code.
type Action struct {
	Code      uint8
	Relay     uint16
	Attempt   uint8
	Subscribe bool
	MessageID uint32
	Delay     uint32 // microseconds
	Endpoint  uint64
	TimeoutAt uint64 // microseconds on the relay's clock
	Token     uint64
	Text      string
}

// bigEndian is the byte order of all numbers in frames.
var bigEndian = binary.BigEndian

// ReadBatch reads and decodes one frame. At the end of the input, between two
// frames, it returns io.EOF.
func ReadBatch(input io.Reader) (clock uint64, events []Event, err error) {
	var header [batchHeaderSize]byte
	n, err := io.ReadFull(input, header[:])
	if err == io.EOF {
		return 0, nil, io.EOF
	}
	if err != nil {
		return 0, nil, fmt.Errorf("batch header: input ended after %d of %d bytes", n, batchHeaderSize)
	}
	size, count := bigEndian.Uint32(header[8:]), bigEndian.Uint32(header[12:])
	if size > maxBodySize {
		return 0, nil, fmt.Errorf("batch header: length %d is over %d", size, maxBodySize)
	}
	if uint64(count)*eventSize > uint64(size) {
		return 0, nil, fmt.Errorf("batch header: %d records do not fit in %d bytes", count, size)
	}
	// ReadAll grows its buffer as bytes arrive, so a corrupt length in the header cannot allocate
	// memory that the input never fills.
	body, err := io.ReadAll(io.LimitReader(input, int64(size)))
	if err != nil {
		return 0, nil, fmt.Errorf("batch body: %w", err)
	}
	if len(body) < int(size) {
		return 0, nil, fmt.Errorf("batch body: input ended after %d of %d bytes", len(body), size)
	}
	events, err = DecodeEvents(body, int(count))
	return bigEndian.Uint64(header[:]), events, err
}

// DecodeEvents decodes the body of a frame: count event records, followed by a
// tail of lists and texts that the records refer to.
func DecodeEvents(body []byte, count int) ([]Event, error) {
	if count < 0 || count > len(body)/eventSize {
		return nil, fmt.Errorf("batch body: %d records do not fit in %d bytes", count, len(body))
	}
	tail := body[count*eventSize:]
	events := make([]Event, count)
	for i := range events {
		if err := decodeEvent(&events[i], body[i*eventSize:(i+1)*eventSize], tail); err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
	}
	return events, nil
}

func decodeEndpoint(b []byte) uint64 {
	return uint64(bigEndian.Uint32(b))<<16 | uint64(bigEndian.Uint16(b[4:]))
}

// tailBytes returns the part of tail that location refers to: an offset in
// bytes, followed by a number of elements.
func tailBytes(tail, location []byte, elementSize int) ([]byte, error) {
	offset, count := uint64(bigEndian.Uint32(location)), uint64(bigEndian.Uint32(location[4:]))
	if offset > uint64(len(tail)) || count*uint64(elementSize) > uint64(len(tail))-offset {
		return nil, fmt.Errorf("offset %d and length %d lie outside the tail of %d bytes", offset, count, len(tail))
	}
	return tail[offset : offset+count*uint64(elementSize)], nil
}

// decodeReport decodes a load report: the number of its values, followed by the
// values.
func (e *Event) decodeReport(b []byte) error {
	e.ReportLen = int(b[0])
	if e.ReportLen > len(e.Report) {
		return fmt.Errorf("report has %d values, want at most %d", e.ReportLen, len(e.Report))
	}
	for i := range e.Report {
		e.Report[i] = math.Float32frombits(bigEndian.Uint32(b[1+4*i:]))
	}
	return nil
}

func isKnownStatus(s uint8) bool { return s == StatusOK || s >= StatusNotSent }

func decodeEvent(e *Event, record, tail []byte) (err error) {
	e.Code = record[0]
	if e.Code == EvListEntries {
		e.ListNumber = record[1]
		if e.ListNumber > maxListNumber {
			return fmt.Errorf("table: list number %d, want at most %d", e.ListNumber, maxListNumber)
		}
		raw, err := tailBytes(tail, record[2:], entrySize)
		if err != nil {
			return fmt.Errorf("table: %w", err)
		}
		e.Entries, err = decodeEntries(raw)
		return err
	}
	e.Relay = bigEndian.Uint16(record[1:])
	switch e.Code {
	case EvStart:
		e.Token = bigEndian.Uint64(record[3:])
		if e.Text, err = tailBytes(tail, record[11:], 1); err != nil {
			return fmt.Errorf("up: %w", err)
		}
	case EvListUpdate:
		e.ListUpdateKind, e.Token, e.ListNumber = record[3], bigEndian.Uint64(record[4:]), record[12]
		if e.ListUpdateKind != ListCached && e.ListUpdateKind != ListFailed &&
			e.ListUpdateKind != ListFull && e.ListUpdateKind != ListDelta {
			return fmt.Errorf("sync: unknown kind %d", e.ListUpdateKind)
		}
		if e.ListUpdateKind != ListFailed && e.ListNumber > maxListNumber {
			return fmt.Errorf("sync: list number %d, want at most %d", e.ListNumber, maxListNumber)
		}
	case EvMessage:
		e.MessageID, e.Key, e.TimeLeft =
			bigEndian.Uint32(record[3:]), bigEndian.Uint64(record[7:]), bigEndian.Uint32(record[15:])
		e.Flags, e.Class = bigEndian.Uint16(record[19:]), bigEndian.Uint16(record[21:])
		destination := math.Float32frombits(bigEndian.Uint32(record[23:]))
		if !(destination >= 0 && destination <= math.MaxUint16) || destination != float32(uint16(destination)) {
			return fmt.Errorf("call: destination %v is not a whole number from 0 to %d", destination, math.MaxUint16)
		}
		e.Dest, e.Tenant, e.EstimatedCost =
			uint16(destination), bigEndian.Uint32(record[27:]), bigEndian.Uint32(record[31:])
	case EvResponseStarted:
		e.MessageID, e.Attempt, e.Endpoint, e.Elapsed =
			bigEndian.Uint32(record[3:]), record[7], decodeEndpoint(record[8:]), bigEndian.Uint32(record[14:])
	case EvOutcome:
		e.MessageID, e.Endpoint, e.Attempt = bigEndian.Uint32(record[3:]), decodeEndpoint(record[7:]), record[13]
		e.StatusDetail, e.Elapsed, e.Status, e.Settled =
			bigEndian.Uint32(record[14:]), bigEndian.Uint32(record[18:]), record[22], record[23] != 0
		if !isKnownStatus(e.Status) {
			return fmt.Errorf("resolved: unknown status %d", e.Status)
		}
		if err := e.decodeReport(record[24:]); err != nil {
			return fmt.Errorf("resolved: %w", err)
		}
	case EvWithdraw:
		e.MessageID = bigEndian.Uint32(record[3:])
	case EvTimer:
		e.Token = bigEndian.Uint64(record[3:])
	case EvProbeResult:
		e.Endpoint, e.Status, e.Elapsed = decodeEndpoint(record[3:]), record[9], bigEndian.Uint32(record[10:])
		if !isKnownStatus(e.Status) {
			return fmt.Errorf("health_result: unknown status %d", e.Status)
		}
		if err := e.decodeReport(record[14:]); err != nil {
			return fmt.Errorf("health_result: %w", err)
		}
	case EvDatagram:
		if e.Text, err = tailBytes(tail, record[7:], 1); err != nil {
			return fmt.Errorf("datagram: %w", err)
		}
	case EvStop:
	default:
		return fmt.Errorf("unknown event code %d", e.Code)
	}
	return nil
}

func decodeEntries(raw []byte) ([]Entry, error) {
	entries := make([]Entry, len(raw)/entrySize)
	for i := range entries {
		b := raw[i*entrySize:]
		entries[i] = Entry{Endpoint: decodeEndpoint(b), Zone: bigEndian.Uint16(b[6:]), Kind: b[8],
			Dest: bigEndian.Uint16(b[9:]), State: b[11],
			Rate: math.Float32frombits(bigEndian.Uint32(b[12:])), UpSince: bigEndian.Uint64(b[16:])}
		if b[11] > 2 {
			return nil, fmt.Errorf("table: entry %d: unknown state %d", i, b[11])
		}
	}
	return entries, nil
}

// AppendReply appends a reply frame to dst: a header, a record for each action,
// and a tail of the texts that the records refer to.
func AppendReply(dst []byte, actions []Action) ([]byte, error) {
	frameStart := len(dst)
	dst = append(dst, make([]byte, replyHeaderSize+actionSize*len(actions))...)
	tailStart := len(dst)
	for i := range actions {
		a := &actions[i]
		record := dst[frameStart+replyHeaderSize+i*actionSize:][:actionSize]
		record[0] = a.Code
		bigEndian.PutUint16(record[1:], a.Relay)
		switch a.Code {
		case ActSend:
			bigEndian.PutUint32(record[3:], a.MessageID)
			putEndpoint(record[7:], a.Endpoint)
			bigEndian.PutUint64(record[13:], a.TimeoutAt)
		case ActRefuse:
			bigEndian.PutUint32(record[3:], a.MessageID)
			bigEndian.PutUint32(record[7:], a.Delay)
		case ActFail:
			bigEndian.PutUint32(record[3:], a.MessageID)
		case ActCancel:
			bigEndian.PutUint32(record[3:], a.MessageID)
			record[7] = a.Attempt
		case ActTimer:
			bigEndian.PutUint32(record[3:], a.Delay)
			bigEndian.PutUint64(record[7:], a.Token)
		case ActProbe, ActClose:
			putEndpoint(record[3:], a.Endpoint)
		case ActWatch:
			if a.Subscribe {
				record[3] = 1
			}
		case ActFetch:
		case ActLog, ActError:
			bigEndian.PutUint32(record[3:], uint32(len(dst)-tailStart))
			bigEndian.PutUint32(record[7:], uint32(len(a.Text)))
			dst = append(dst, a.Text...)
		default:
			return nil, fmt.Errorf("unknown action code %d", a.Code)
		}
	}
	bigEndian.PutUint32(dst[frameStart:], uint32(len(dst)-frameStart-replyHeaderSize))
	bigEndian.PutUint32(dst[frameStart+4:], uint32(len(actions)))
	return dst, nil
}

func putEndpoint(b []byte, endpoint uint64) {
	bigEndian.PutUint32(b, uint32(endpoint>>16))
	bigEndian.PutUint16(b[4:], uint16(endpoint))
}

// Settings is the decoded settings text. Unknown keys are ignored. Times are in
// microseconds.
type Settings struct {
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
		Share float64 `json:"share"`
	} `json:"accounts"`
	Relays  int `json:"balancers"`
	Classes []struct {
		Deadline    int64   `json:"deadline_us"`
		DedupWindow int64   `json:"dedup_window_us"`
		DedupScope  string  `json:"group"`
		LateWorth   float64 `json:"late_worth"`
		Name        string  `json:"name"`
		Idempotency string  `json:"repeat"`
		InOrder     bool    `json:"sequential"`
		TargetTime  int64   `json:"target_us"`
		Worth       float64 `json:"worth"`
	} `json:"classes"`
	Discovery string   `json:"discovery"`
	Kinds     []string `json:"kinds"`
	Limits    struct {
		ConnectTimeout   int64 `json:"connect_timeout_us"`
		KeepAlive        int64 `json:"keepalive_us"`
		MaxRetryAfter    int64 `json:"max_retry_after_us"`
		MayCancel        bool  `json:"may_cancel"`
		MaxHeld          int   `json:"most_held"`
		MaxAttempts      int   `json:"most_tries"`
		ParallelAttempts bool  `json:"parallel_tries"`
		Probing          bool  `json:"probing"`
		RetryAfter       bool  `json:"retry_after"`
		StreamsPerConn   int   `json:"streams_per_conn"`
	} `json:"limits"`
	OverShareWorth float64 `json:"over_share_worth"`
	Report         struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Safety struct {
		AnswerSlack     int64   `json:"answer_slack_us"`
		ListMaxAge      int64   `json:"ask_every_us"`
		DrainGrace      int64   `json:"drain_grace_us"`
		OverloadTime    int64   `json:"fall_us"`
		OverloadFactor  float64 `json:"overload_factor"`
		RampTime        int64   `json:"ramp_time_us"`
		StartCapacity   float64 `json:"start_capacity"`
		OrderedKeyPause int64   `json:"settle_after_doubt_us"`
	} `json:"safety"`
	Specifics struct {
		MaxCallsInFlight int    `json:"calls_out"`
		MaxBatch         []int  `json:"kind_batch"`
		WorthDecay       string `json:"late"`
		SeparateLimits   []bool `json:"own_limits"`
	} `json:"specifics"`
	Tick    int64  `json:"tick_us"`
	WorthBy string `json:"value_by"`
	Weights string `json:"weights"`
	Zone    int    `json:"zone"`
}

// ParseSettings decodes the settings text, which is JSON.
func ParseSettings(text []byte) (*Settings, error) {
	settings := &Settings{OverShareWorth: 1}
	if err := json.Unmarshal(text, settings); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, fmt.Errorf("settings: %s: wrong type %s", typeError.Field, typeError.Value)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	return settings, nil
}
