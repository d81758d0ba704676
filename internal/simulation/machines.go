package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"yardwharf/internal/service/control"
)

// machineFaults are troubles of whole storage machines, each with a store and a
// control member on it, as the service is deployed. They are played where control
// members run on storage machines.
var machineFaults = []fault{
	{name: "killMachine", loss: true, play: func(w *world, r *rand.Rand) { w.restartMachine("killMachine", r, false, false) }},
	{name: "powerMachine", loss: true, play: func(w *world, r *rand.Rand) { w.restartMachine("powerMachine", r, true, false) }},
	{name: "wipeMachine", loss: true, play: func(w *world, r *rand.Rand) { w.restartMachine("wipeMachine", r, true, true) }},
	{name: "replaceMachine", loss: true, play: func(w *world, r *rand.Rand) { w.replaceMachine(r) }},
	{name: "killAll", loss: true, play: func(w *world, r *rand.Rand) { w.restartAll("killAll", r, false, false) }},
	{name: "powerAllMachines", loss: true, play: func(w *world, r *rand.Rand) { w.restartAll("powerAllMachines", r, true, false) }},
	{name: "wipeAllMachines", loss: true, play: func(w *world, r *rand.Rand) { w.restartAll("wipeAllMachines", r, true, true) }},
}

// controlMachine returns the machine that a control member with a number starts on.
func (w *world) controlMachine(number int) string {
	if w.options.OnStorage {
		return storageMachine(number)
	}
	return coreMachine(number)
}

// controlProcess makes a control member with a number.
func (w *world) controlProcess(number int) *process {
	s := w.settings("core", w.controlMachine(number), number%machinesEach)
	if w.options.OnStorage {
		s.Node, s.MachineClass = storageNode(number), "storage"
	}
	s.Listen.Control = fmt.Sprintf("%s:%d", s.IP, controlPort)
	s.DataDir = "/data"
	return w.process(s, "control", control.Run, newDisk(syncTime))
}

// addMachine starts one more storage machine, with an empty disk and some seeds.
func (w *world) addMachine(seeds []string) {
	p := w.newStore()
	p.settings.Seeds = seeds
	member := w.controlProcess(w.numberOf(p))
	member.added, member.diskSince = true, p.diskSince
	member.settings.Seeds = seeds
	p.start()
	w.storesMutex.Lock()
	w.controls = append(w.controls, member)
	w.storesMutex.Unlock()
	member.start()
}

// numberOf returns the number of a store's machine.
func (w *world) numberOf(p *process) int {
	w.storesMutex.Lock()
	defer w.storesMutex.Unlock()
	for number := range storesAtTheStart + w.storesAdded {
		if storageMachine(number) == p.machine {
			return number
		}
	}
	return 0
}

// seeds returns the addresses of the control members that are not gone for good.
func (w *world) seeds() []string {
	var seeds []string
	for _, member := range w.liveControls() {
		seeds = append(seeds, member.settings.Listen.Control)
	}
	return seeds
}

// onMachine returns the processes of the system on a machine.
func (w *world) onMachine(machine string) []*process {
	return slices.DeleteFunc(w.processes(), func(p *process) bool { return p.machine != machine })
}

// holdAll waits until no other fault ends or starts one of the processes.
func holdAll(processes []*process) (release func()) {
	var releases []func()
	for _, p := range processes {
		releases = append(releases, p.hold())
	}
	return func() {
		for _, release := range releases {
			release()
		}
	}
}

// endMachine ends the processes of a machine at once.
func (w *world) endMachine(processes []*process, random *rand.Rand, powerLost, wipe bool) {
	if powerLost {
		w.network.Power(processes[0].machine, false)
	}
	for _, p := range processes {
		p.kill(random, powerLost)
		if wipe && p.disk != nil {
			p.disk.wipe()
			p.diskSince = w.journal.now()
		}
	}
}

// startMachine gives a machine its power and starts its processes.
func (w *world) startMachine(processes []*process) {
	w.network.Power(processes[0].machine, true)
	seeds := w.seeds()
	for _, p := range processes {
		p.settings.Seeds = seeds
		p.start()
	}
}

// restartMachine ends a storage machine and starts it again.
func (w *world) restartMachine(kind string, random *rand.Rand, powerLost, wipe bool) {
	machine := choose(random, w.liveStores()).machine
	processes := w.onMachine(machine)
	defer holdAll(processes)()
	t := w.journal.begin(kind, machine)
	defer w.journal.end(t)
	w.endMachine(processes, random, powerLost, wipe)
	time.Sleep(lasting(random))
	w.startMachine(processes)
}

// replaceMachine takes a storage machine away for good; an empty one comes at another
// address.
func (w *world) replaceMachine(random *rand.Rand) {
	old := choose(random, w.liveStores())
	processes := w.onMachine(old.machine)
	defer holdAll(processes)()
	t := w.journal.begin("replaceMachine", old.machine)
	defer w.journal.end(t)
	seeds := w.seeds() // the list lags: it names the machine that is lost
	w.takeAway(old)
	for _, p := range processes {
		w.takeControlAway(p)
	}
	w.endMachine(processes, random, true, true)
	time.Sleep(replacementGap)
	w.addMachine(seeds)
}

// takeControlAway ends a control member for good.
func (w *world) takeControlAway(p *process) {
	w.storesMutex.Lock()
	defer w.storesMutex.Unlock()
	index := slices.Index(w.controls, p)
	if index < 0 {
		return
	}
	w.gone = append(w.gone, p)
	w.controls = slices.Delete(slices.Clone(w.controls), index, index+1)
}

// liveControls returns the control members that are not gone for good.
func (w *world) liveControls() []*process {
	w.storesMutex.Lock()
	defer w.storesMutex.Unlock()
	return slices.Clone(w.controls)
}

// restartAll ends all machines of the system at once, one of them without its disk
// where one is wiped, and starts them again.
func (w *world) restartAll(kind string, random *rand.Rand, powerLost, wipe bool) {
	all := w.processes()
	defer holdAll(all)()
	t := w.journal.begin(kind, storageMachine(0))
	defer w.journal.end(t)
	wiped := ""
	if wipe {
		wiped = choose(random, w.liveStores()).machine
	}
	machines := machinesOf(all)
	for _, machine := range machines {
		w.endMachine(w.onMachine(machine), random, powerLost, machine == wiped)
	}
	time.Sleep(between(random, 200, 1500))
	random.Shuffle(len(machines), func(i, k int) { machines[i], machines[k] = machines[k], machines[i] })
	for _, machine := range machines {
		w.startMachine(w.onMachine(machine))
		time.Sleep(between(random, 1, 30))
	}
}

// machinesOf returns the machines of processes, each once.
func machinesOf(processes []*process) []string {
	var machines []string
	for _, p := range processes {
		if !slices.Contains(machines, p.machine) {
			machines = append(machines, p.machine)
		}
	}
	return machines
}
