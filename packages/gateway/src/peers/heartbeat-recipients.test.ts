import test from 'ava';
import {type VmRecord} from '../model/records.js';
import {vmRecord} from '../testing/fixtures.js';
import {
	isFullHeartbeat, isLargeRegion, HeartbeatScope, recipients,
} from './heartbeat-recipients.js';

const region = (name: string, count: number) => Array.from({length: count}, (_, index) => vmRecord(`${name}-vm-${index}`, `${name}-${1 + (index % 3)}`));
const names = (vms: readonly VmRecord[]) => new Set(vms.map(({vm}) => vm));

/** Simulates the delivery of a heartbeat; returns how often each VM received it, and how often it was sent to another region or failure domain. */
function simulateDelivery(own: VmRecord, fleet: readonly VmRecord[], alive: ReadonlySet<string>, sequence: number) {
	const receivedCounts = new Map<string, number>();
	const crossings = {region: 0, failureDomain: 0};
	const send = (from: VmRecord, scope: HeartbeatScope) => {
		const peers = fleet.filter(({vm}) => vm !== from.vm);
		for (const recipient of recipients({
			own: from, peers, alive, sequence, scope,
		})) {
			const {record} = recipient;
			if (record.region !== from.region) {
				crossings.region++;
			} else if (record.failureDomain !== from.failureDomain) {
				crossings.failureDomain++;
			}

			if (!alive.has(record.vm)) {
				continue;
			}

			const isNew = !receivedCounts.has(record.vm);
			receivedCounts.set(record.vm, (receivedCounts.get(record.vm) ?? 0) + 1);
			if (isNew && recipient.scope > HeartbeatScope.vm) {
				send(record, recipient.scope);
			}
		}
	};

	send(own, HeartbeatScope.fleet);
	return {receivedCounts, crossings};
}

test('a heartbeat reaches every VM once and is sent into each other region and failure domain once', t => {
	// Guards against traffic between regions that grows with the square of the fleet, and against VMs that receive no heartbeats.
	const fleet = ['north', 'south', 'west'].flatMap(name => region(name, 30));
	const [own] = fleet;
	for (let sequence = 1; sequence <= 30; sequence++) {
		const {receivedCounts, crossings} = simulateDelivery(own, fleet, names(fleet), sequence);
		t.is(receivedCounts.size, fleet.length - 1);
		t.true([...receivedCounts.values()].every(count => count === 1));
		t.deepEqual(crossings, {region: 2, failureDomain: 6});
	}
});

test('a relay that has stopped unnoticed loses one heartbeat in many', t => {
	// Guards against a stopped relay that keeps all heartbeats from its region or failure domain.
	const fleet = ['north', 'south'].flatMap(name => region(name, 30));
	const [own, stopped] = [fleet[0], fleet[40]];
	const alive = names(fleet.filter(vm => vm !== stopped));
	const reached = Array.from({length: 30}, (_, sequence) => {
		const delivery = {
			own, peers: fleet, alive: names(fleet), sequence, scope: HeartbeatScope.fleet,
		};
		return [...recipients(delivery)].every(({record, scope}) => scope === HeartbeatScope.vm || alive.has(record.vm));
	});
	t.is(reached.filter(isReached => !isReached).length, 1);
});

test('relays are live VMs, or any VM of a region without live ones', t => {
	// Guards against a region that stays lost after a partition between two regions has ended.
	const [own, ...south] = [...region('north', 1), ...region('south', 20)];
	const recipientsOf = (alive: ReadonlySet<string>, sequence: number) => [...recipients({
		own, peers: south, alive, sequence, scope: HeartbeatScope.fleet,
	})].map(({record}) => record.vm);
	t.deepEqual(recipientsOf(new Set(['south-vm-4']), 7), ['south-vm-4']);
	t.is(new Set(Array.from({length: 20}, (_, sequence) => recipientsOf(new Set(), sequence)).flat()).size, 20);
});

test('VMs of small regions and failure domains get heartbeats directly, and every heartbeat of a small fleet is full', t => {
	const fleet = [...region('north', 6), ...region('south', 4)];
	const {receivedCounts, crossings} = simulateDelivery(fleet[0], fleet, names(fleet), 1);
	t.is(receivedCounts.size, 9);
	t.deepEqual(crossings, {region: 4, failureDomain: 4});
	t.false(isLargeRegion('south', fleet));
	t.true(isLargeRegion('south', region('south', 20)));
	t.true([1, 2, 3].every(sequence => isFullHeartbeat(sequence, 10)));
	t.is(Array.from({length: 70}, (_, sequence) => isFullHeartbeat(sequence, 59)).filter(Boolean).length, 10);
});

test('heartbeats that VMs with equal sequences send at the same time go to different relays', t => {
	// Guards against VMs that started together and choose the same relay in each round: it had to relay 60 heartbeats to 15 VMs at once, more than its link takes, and the region lost up to three heartbeats of a VM in a row.
	const fleet = ['north', 'south', 'west'].flatMap(name => region(name, 30));
	const alive = names(fleet);
	for (let sequence = 1; sequence <= 30; sequence++) {
		const relayedCounts = new Map<string, number>();
		for (const own of fleet.filter(vm => vm.region !== 'south')) {
			const peers = fleet.filter(({vm}) => vm !== own.vm);
			for (const {record, scope} of recipients({
				own, peers, alive, sequence, scope: HeartbeatScope.fleet,
			})) {
				if (record.region === 'south' && scope === HeartbeatScope.region) {
					relayedCounts.set(record.vm, (relayedCounts.get(record.vm) ?? 0) + 1);
				}
			}
		}

		t.true(Math.max(...relayedCounts.values()) <= 9, `${Math.max(...relayedCounts.values())} of 60 heartbeats go to one of 30 relays`);
	}
});
