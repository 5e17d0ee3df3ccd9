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

// failingDisks are the disks of a fleet's fronts, of which each may be made to fail.
type failingDisks struct {
	write, sync [3]atomic.Int32 // errno by front; 0: none
	halved      [3]atomic.Bool  // a write of Short has been, and the next ones find the disk full
}

// launch starts a front whose journal is on such a disk.
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
		if syscall.Errno(errno) == syscallfault.ShortWrite && d.halved[front].Swap(true) {
			return syscall.ENOSPC
		}
		return syscall.Errno(errno)
	})
	return err
}

// Guards what the fleet has agreed on against a disk that is full for a while, or that fails, at
// the leader and at a follower: the others go on, and the front has all of it once it is back.
func TestDisksThatFail(t *testing.T) {
	t.Parallel() // as TestHardCases
	var disks failingDisks
	h := hard{started(t, Options{Fronts: 3, Zones: 3, Seed: 5, Launch: disks.launch}), t}
	for _, x := range []struct {
		name   string
		leads  bool
		disk   *[3]atomic.Int32
		errno  syscall.Errno
		logged string
	}{
		{"a follower's is full", false, &disks.write, syscall.ENOSPC, "the disk takes nothing"},
		{"the leader's is full", true, &disks.write, syscall.ENOSPC, "the disk takes nothing"},
		{"a follower's is full within a record", false, &disks.write, syscallfault.ShortWrite, "the disk takes nothing"},
		{"the leader's is full within a record", true, &disks.write, syscallfault.ShortWrite, "the disk takes nothing"},
		{"a follower's sync fails", false, &disks.sync, syscall.EIO, "takes no part until it is restarted"},
		{"the leader's sync fails", true, &disks.sync, syscall.EIO, "takes no part until it is restarted"},
	} {
		t.Run(x.name, func(t *testing.T) {
			h := hard{h.Processes, t}
			victim := h.leader()
			if !x.leads {
				victim = h.other(victim)
			}
			asked := h.other(victim)
			disks.halved[h.index(victim)].Store(false)
			known := logged(victim, x.logged)
			x.disk[h.index(victim)].Store(int32(x.errno))
			id := h.ask(asked, asked)
			await(t, "the front says so", func() bool { return logged(victim, x.logged) > known })
			time.Sleep(time.Second) // for as long as it lasts
			x.disk[h.index(victim)].Store(0)
			victim.Kill()
			if err := victim.Start(); err != nil {
				t.Fatal(err)
			}
			await(t, "it knows of all that was agreed", func() bool {
				own, err := victim.Plan()
				others, err2 := asked.Plan()
				return err == nil && err2 == nil && len(own) > 0 && reflect.DeepEqual(ids(own), ids(others))
			})
			h.finish(asked, id, asked.Name)
		})
	}
}

// logged counts a text in a front's log.
func logged(p *Process, text string) int {
	all, err := os.ReadFile(p.Log)
	if err != nil {
		return 0
	}
	return strings.Count(string(all), text)
}

// ids are the numbers of works.
func ids(list []fleet.Operation) (numbers []uint64) {
	for _, w := range list {
		numbers = append(numbers, w.ID)
	}
	return numbers
}
