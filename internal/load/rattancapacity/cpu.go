package rattancapacity

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"os"
	"path/filepath"
	"runtime/pprof"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// Roles with which goroutines are labelled. A goroutine inherits the label of the one
// that starts it.
const (
	roleLabel   = "role"
	roleDaemon  = "daemon"
	roleStandin = "standin"
	roleCaller  = "caller"
)

// setRole labels the calling goroutine and those that it starts from now on.
func setRole(role string) {
	pprof.SetGoroutineLabels(pprof.WithLabels(context.Background(), pprof.Labels(roleLabel, role)))
}

// withRole runs do on a new goroutine with the role and waits for it.
func withRole(role string, do func() error) error {
	done := make(chan error, 1)
	go func() {
		setRole(role)
		done <- do()
	}()
	return <-done
}

// processCPU returns the CPU time that the process has used.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// A cpuWindow measures the CPU time of a time span by role. CPU time without a role, such
// as that of garbage collection, is divided among the roles in proportion to their own.
type cpuWindow struct {
	profile bytes.Buffer
	started time.Duration
}

func startCPU() (*cpuWindow, error) {
	w := &cpuWindow{started: processCPU()}
	if err := pprof.StartCPUProfile(&w.profile); err != nil {
		return nil, errors.Wrap(err, "start CPU profile")
	}
	return w, nil
}

// stop returns the CPU time of each role since the start. A role without a sample in the
// profile is left out.
func (w *cpuWindow) stop() (map[string]time.Duration, error) {
	pprof.StopCPUProfile()
	used := processCPU() - w.started
	samples, err := samplesByLabel(w.profile.Bytes(), roleLabel)
	if err != nil {
		return nil, err
	}
	delete(samples, "")
	var labelled int64
	for _, count := range samples {
		labelled += count
	}
	parts := make(map[string]time.Duration)
	for role, count := range samples {
		parts[role] = time.Duration(float64(used) * float64(count) / float64(labelled))
	}
	return parts, nil
}

// save writes the profile of a stopped window to a file in directory, unless that is "".
func (w *cpuWindow) save(directory, name string) error {
	if directory == "" {
		return nil
	}
	name = strings.NewReplacer(" ", "-", ",", "").Replace(name) + ".pprof"
	err := os.WriteFile(filepath.Join(directory, name), w.profile.Bytes(), 0o600)
	return errors.Wrap(err, "write CPU profile")
}

// Field numbers of the profile format, github.com/google/pprof/proto/profile.proto.
const (
	profileSample      = 2
	profileStringTable = 6
	sampleValue        = 2
	sampleLabel        = 3
	labelKey           = 1
	labelString        = 2
)

// samplesByLabel returns the number of samples of a compressed profile by the value of a
// label, with "" for samples without the label.
func samplesByLabel(profile []byte, label string) (map[string]int64, error) {
	reader, err := gzip.NewReader(bytes.NewReader(profile))
	if err != nil {
		return nil, errors.Wrap(err, "read profile")
	}
	data, err := io.ReadAll(reader)
	if err != nil {
		return nil, errors.Wrap(err, "read profile")
	}
	var texts []string
	var samples [][]byte
	if err := eachField(data, func(number protowire.Number, value []byte, _ uint64) {
		switch number {
		case profileStringTable:
			texts = append(texts, string(value))
		case profileSample:
			samples = append(samples, value)
		}
	}); err != nil {
		return nil, err
	}
	counts := make(map[string]int64)
	for _, sample := range samples {
		name, count, err := readSample(sample, texts, label)
		if err != nil {
			return nil, err
		}
		counts[name] += count
	}
	return counts, nil
}

// readSample returns the value of a sample's label and the first of its counts.
func readSample(sample []byte, texts []string, label string) (name string, count int64, err error) {
	var labelErr error
	counted := false
	err = eachField(sample, func(number protowire.Number, value []byte, integer uint64) {
		switch {
		case number == sampleValue && !counted:
			// The runtime writes the two values of a CPU profile's sample, number of samples
			// and nanoseconds, as single fields.
			count, counted = int64(integer), true
		case number == sampleLabel:
			var key, text uint64
			labelErr = eachField(value, func(number protowire.Number, _ []byte, integer uint64) {
				switch number {
				case labelKey:
					key = integer
				case labelString:
					text = integer
				}
			})
			if key < uint64(len(texts)) && text < uint64(len(texts)) && texts[key] == label {
				name = texts[text]
			}
		}
	})
	if err == nil {
		err = labelErr
	}
	return name, count, err
}

// eachField calls visit with each field of a protobuf message: value is set for a field
// of bytes, integer for a varint.
func eachField(message []byte, visit func(number protowire.Number, value []byte, integer uint64)) error {
	for len(message) > 0 {
		number, kind, n := protowire.ConsumeTag(message)
		if n < 0 {
			return errors.Wrap(protowire.ParseError(n), "read profile")
		}
		message = message[n:]
		size := protowire.ConsumeFieldValue(number, kind, message)
		if size < 0 {
			return errors.Wrap(protowire.ParseError(size), "read profile")
		}
		switch kind {
		case protowire.BytesType:
			value, _ := protowire.ConsumeBytes(message)
			visit(number, value, 0)
		case protowire.VarintType:
			integer, _ := protowire.ConsumeVarint(message)
			visit(number, nil, integer)
		}
		message = message[size:]
	}
	return nil
}
