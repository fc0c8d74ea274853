import test from 'ava';
import {type VmRecord} from '../model/records.js';
import {vmRecord} from '../testing/fixtures.js';
import {
	isFullHeartbeat, isLargeRegion, Reach, recipients,
} from './heartbeat-recipients.js';

const region = (name: string, count: number) => Array.from({length: count}, (_, index) => vmRecord(`${name}-vm-${index}`, `${name}-${1 + (index % 3)}`));
const names = (vms: readonly VmRecord[]) => new Set(vms.map(({vm}) => vm));

/** Plays the way of a heartbeat; returns who got it, how often, and the VMs that sent it out of their region and failure domain. */
function play(own: VmRecord, fleet: readonly VmRecord[], alive: ReadonlySet<string>, sequence: number) {
	const got = new Map<string, number>();
	const crossings = {region: 0, failureDomain: 0};
	const send = (from: VmRecord, reach: Reach) => {
		const peers = fleet.filter(({vm}) => vm !== from.vm);
		for (const recipient of recipients({
			own: from, peers, alive, sequence, reach,
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

			const isNew = !got.has(record.vm);
			got.set(record.vm, (got.get(record.vm) ?? 0) + 1);
			if (isNew && recipient.reach > Reach.vm) {
				send(record, recipient.reach);
			}
		}
	};

	send(own, Reach.fleet);
	return {got, crossings};
}

test('a heartbeat reaches every VM once and crosses into each region and failure domain once', t => {
	// Guards against traffic between regions that grows with the square of the fleet, and against VMs that are left out.
	const fleet = ['north', 'south', 'west'].flatMap(name => region(name, 30));
	const [own] = fleet;
	for (let sequence = 1; sequence <= 30; sequence++) {
		const {got, crossings} = play(own, fleet, names(fleet), sequence);
		t.is(got.size, fleet.length - 1);
		t.true([...got.values()].every(count => count === 1));
		t.deepEqual(crossings, {region: 2, failureDomain: 6});
	}
});

test('the end of a VM that nobody has noticed costs one heartbeat in many', t => {
	// Guards against a relay whose end silences a region or a failure domain.
	const fleet = ['north', 'south'].flatMap(name => region(name, 30));
	const [own, ended] = [fleet[0], fleet[40]];
	const alive = names(fleet.filter(vm => vm !== ended));
	const reached = Array.from({length: 30}, (_, sequence) => {
		const passage = {
			own, peers: fleet, alive: names(fleet), sequence, reach: Reach.fleet,
		};
		return [...recipients(passage)].every(({record, reach}) => reach === Reach.vm || alive.has(record.vm));
	});
	t.is(reached.filter(isReached => !isReached).length, 1);
});

test('a heartbeat goes through VMs that are alive, or through any while none of the region is heard', t => {
	// Guards against a region that stays lost after two regions were cut off from each other.
	const [own, ...south] = [...region('north', 1), ...region('south', 20)];
	const through = (alive: ReadonlySet<string>, sequence: number) => [...recipients({
		own, peers: south, alive, sequence, reach: Reach.fleet,
	})].map(({record}) => record.vm);
	t.deepEqual(through(new Set(['south-vm-4']), 7), ['south-vm-4']);
	t.is(new Set(Array.from({length: 20}, (_, sequence) => through(new Set(), sequence)).flat()).size, 20);
});

test('small regions and failure domains are sent to directly, and every heartbeat of a small fleet is full', t => {
	const fleet = [...region('north', 6), ...region('south', 4)];
	const {got, crossings} = play(fleet[0], fleet, names(fleet), 1);
	t.is(got.size, 9);
	t.deepEqual(crossings, {region: 4, failureDomain: 4});
	t.false(isLargeRegion('south', fleet));
	t.true(isLargeRegion('south', region('south', 20)));
	t.true([1, 2, 3].every(sequence => isFullHeartbeat(sequence, 10)));
	t.is(Array.from({length: 70}, (_, sequence) => isFullHeartbeat(sequence, 59)).filter(Boolean).length, 10);
});
