package rattanusage

// A VM is a VM of the fleet as far as the choice of collectors needs it.
type VM struct {
	Name           string
	FailureDomain  string
	ProcessorCores float64
}

// Collector returns the VM to which the daemons of a failure domain give their counts:
// the one with the most processor time among those that are usable. It returns false when
// there is none.
func Collector(vms []VM, failureDomain string, isUsable func(name string) bool) (string, bool) {
	var best VM
	for _, vm := range vms {
		if vm.FailureDomain != failureDomain || !isUsable(vm.Name) {
			continue
		}
		isBetter := vm.ProcessorCores > best.ProcessorCores || vm.ProcessorCores == best.ProcessorCores && vm.Name < best.Name
		if best.Name == "" || isBetter {
			best = vm
		}
	}
	return best.Name, best.Name != ""
}
