/** Processor time, memory and churn of the subsets. */
import { chooseSubset, createSubsets } from '../../src/routing/index.js'
import type { Configuration, Member, VM } from '../../src/model/index.js'
import { TARGETS_PER_SERVICE } from './configuration.js'
import type { Measurement } from './measurement.js'
import { measureHeap, measureTime, timeOnce } from './resource-usage.js'
import { sampleConfiguration, sampleMembers, sampleService, sampleVMs } from './samples.js'

/** Services over which the churn is averaged. */
const SAMPLED_SERVICES = 100

const CURRENT_FLEET_VMS = 48

const sampledServices = Array.from({ length: SAMPLED_SERVICES }, (_, i) => sampleService(i, TARGETS_PER_SERVICE))

function chooseSubsetNames (vms: readonly VM[]): readonly (readonly string[])[] {
  return sampledServices.map(service => chooseSubset(service, vms).map(vm => vm.name))
}

/** Returns the share of subset memberships that are new after a change of the VMs. */
function newMembershipShare (before: ReturnType<typeof chooseSubsetNames>, after: ReturnType<typeof chooseSubsetNames>): number {
  const isNew = after.flatMap((names, i) => names.map(name => before[i]?.includes(name) === false))
  return isNew.filter(Boolean).length / isNew.length
}

/** Choice of one subset, and its churn after the loss of a VM or a zone, by the number of VMs. */
export const subsetChoiceByVMs: Measurement = {
  name: 'subset-choice',
  by: 'vms',
  sizes: [48, 480, 6900],
  quickSizes: [16, 32, 64],
  run: count => {
    const vms = sampleVMs(count)
    const before = chooseSubsetNames(vms)
    const lostZone = vms[0]?.place
    const chosenSubsets = measureHeap(() => sampledServices.map(service => chooseSubset(service, vms)))
    return [
      { measure: 'choose', unit: 'us', value: measureTime(iteration => chooseSubset(sampledServices[iteration % SAMPLED_SERVICES]!, vms)) },
      { measure: 'heapPerSubset', unit: 'B', value: chosenSubsets.bytes / SAMPLED_SERVICES },
      { measure: 'newMembershipsOneVMLost', unit: 'share of memberships', value: newMembershipShare(before, chooseSubsetNames(vms.slice(1))) },
      { measure: 'newMembershipsZoneLost', unit: 'share of memberships', value: newMembershipShare(before, chooseSubsetNames(vms.filter(vm => vm.place !== lostZone))) }
    ]
  }
}

function createSubsetsOfServices (services: number, members: readonly Member[]): {
  readonly subsets: ReturnType<typeof createSubsets>
  readonly changeFirstService: () => void
} {
  let configuration: Configuration = sampleConfiguration({ services, targets: services * TARGETS_PER_SERVICE, routes: 0 })
  const subsets = createSubsets(() => configuration)
  subsets.refresh(members)
  return {
    subsets,
    changeFirstService: () => {
      const [first, ...others] = configuration.services
      configuration = { ...configuration, revision: configuration.revision + 1, services: [{ ...first! }, ...others] }
    }
  }
}

/** Subsets of all services, which each VM recomputes to find the peers for its links. */
export const subsetsByServices: Measurement = {
  name: 'subsets-of-all-services',
  by: 'services',
  sizes: [65, 650, 6500],
  quickSizes: [20, 40, 80],
  run: services => {
    const { subsets, changeFirstService } = createSubsetsOfServices(services, sampleMembers(CURRENT_FLEET_VMS))
    const firstChoiceUs = timeOnce(() => subsets.peersOf('entry-1'))
    const peersAfterNoteUs = measureTime(() => {
      changeFirstService()
      subsets.peersOf('entry-1')
    })
    return [
      { measure: 'chooseAll', unit: 'us', value: firstChoiceUs },
      { measure: 'peersAfterNote', unit: 'us', value: peersAfterNoteUs },
      { measure: 'peersUnchanged', unit: 'us', value: measureTime(() => subsets.peersOf('entry-1')) }
    ]
  }
}
