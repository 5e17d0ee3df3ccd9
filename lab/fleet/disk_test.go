package fleet

import (
	"os"
	"os/exec"
	"reflect"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cherryramp/internal/fleet"
	"cherryramp/lab/syscallfault"
)

// failingDisks injects errors into the journals' system calls, by front.
type failingDisks struct {
	write, sync  [3]atomic.Int32 // errno by front; 0: no error
	shortWritten [3]atomic.Bool  // after a short write, further writes fail with ENOSPC
}

// launch starts a front with the errors injected into calls on its journal.
func (d *failingDisks) launch(front int, cmd *exec.Cmd) error {
	matches := []syscallfault.Match{}
	for _, n := range []int{unix.SYS_WRITE, unix.SYS_PWRITE64, unix.SYS_FSYNC, unix.SYS_FDATASYNC} {
		matches = append(matches, syscallfault.Match{Number: n, Arg: syscallfault.AnyArg})
	}
	_, err := syscallfault.Start(cmd, matches, false, func(c syscallfault.Call) syscall.Errno {
		errno := d.write[front].Load()
		if c.Number == unix.SYS_FSYNC || c.Number == unix.SYS_FDATASYNC {
			errno = d.sync[front].Load()
		}
		if errno == 0 || !strings.Contains(c.Descriptor(), "/folder/journal") {
			return 0
		}
		if syscall.Errno(errno) == syscallfault.ShortWrite && d.shortWritten[front].Swap(true) {
			return syscall.ENOSPC
		}
		return syscall.Errno(errno)
	})
	return err
}

// A disk that is full for a while, or a sync that fails, at the leader or at a follower, must
// not lose committed entries: the others go on, and the front has all operations after its
// restart.
func TestDiskFailures(t *testing.T) {
	t.Parallel() // as TestOperationsUnderFaults
	var disks failingDisks
	h := testFleet{startFleet(t, Options{Fronts: 3, Zones: 3, Seed: 5, Launch: disks.launch}), t}
	for _, x := range []struct {
		name   string
		leads  bool
		disk   *[3]atomic.Int32
		errno  syscall.Errno
		logged string
	}{
		{"follower full", false, &disks.write, syscall.ENOSPC, "the disk takes nothing"},
		{"leader full", true, &disks.write, syscall.ENOSPC, "the disk takes nothing"},
		{"follower full within a record", false, &disks.write, syscallfault.ShortWrite, "the disk takes nothing"},
		{"leader full within a record", true, &disks.write, syscallfault.ShortWrite, "the disk takes nothing"},
		{"follower sync error", false, &disks.sync, syscall.EIO, "takes no part until it is restarted"},
		{"leader sync error", true, &disks.sync, syscall.EIO, "takes no part until it is restarted"},
	} {
		t.Run(x.name, func(t *testing.T) {
			h := testFleet{h.Processes, t}
			victim := h.awaitLeader()
			if !x.leads {
				victim = h.otherThan(victim)
			}
			asked := h.otherThan(victim)
			disks.shortWritten[h.index(victim)].Store(false)
			known := logCount(victim, x.logged)
			x.disk[h.index(victim)].Store(int32(x.errno))
			id := h.requestOperation(asked, asked)
			waitFor(t, "the front logs the error", func() bool { return logCount(victim, x.logged) > known })
			time.Sleep(time.Second) // the error lasts for a while
			x.disk[h.index(victim)].Store(0)
			victim.Kill()
			if err := victim.Start(); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "it knows all operations", func() bool {
				own, err := victim.Plan()
				others, err2 := asked.Plan()
				return err == nil && err2 == nil && len(own) > 0 && reflect.DeepEqual(operationIDs(own), operationIDs(others))
			})
			h.finishOperation(asked, id, asked.Name)
		})
	}
}

// logCount counts the occurrences of a text in a front's log.
func logCount(p *Process, text string) int {
	all, err := os.ReadFile(p.Log)
	if err != nil {
		return 0
	}
	return strings.Count(string(all), text)
}

// operationIDs returns the IDs of operations.
func operationIDs(list []fleet.Operation) (numbers []uint64) {
	for _, w := range list {
		numbers = append(numbers, w.ID)
	}
	return numbers
}
