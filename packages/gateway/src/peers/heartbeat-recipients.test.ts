import test from 'ava';
import {vmRecord} from '../testing/fixtures.js';
import {isFullHeartbeat, isLargeRegion, recipients} from './heartbeat-recipients.js';

const region = (name: string, count: number) => Array.from({length: count}, (_, index) => vmRecord(`${name}-vm-${index}`, `${name}-${1 + (index % 3)}`));
const names = (vms: ReturnType<typeof region>) => new Set(vms.map(({vm}) => vm));

test('a large region gets a heartbeat through one VM, another one each time', t => {
	// Guards against traffic between regions that grows with the square of the fleet, and against a relay whose end silences a region.
	const north = region('north', 30);
	const south = region('south', 30);
	const alive = names([...north, ...south]);
	const used = new Set<string>();
	for (let sequence = 1; sequence <= 30; sequence++) {
		const {direct, relays} = recipients('north', [...north, ...south], alive, sequence);
		t.deepEqual(names([...direct]), names(north));
		t.is(relays.length, 1);
		used.add(relays[0].vm);
	}

	t.is(used.size, south.length);
});

test('relays are VMs that are alive, or any while none of the region is heard', t => {
	// Guards against a region that stays lost after two regions were cut off from each other.
	const south = region('south', 20);
	const [alive] = south;
	t.is(recipients('north', south, new Set([alive.vm]), 7).relays[0], alive);
	const tried = new Set(Array.from({length: 20}, (_, sequence) => recipients('north', south, new Set(), sequence).relays[0].vm));
	t.is(tried.size, 20);
});

test('small regions are sent to directly, and every heartbeat of a small fleet is full', t => {
	const south = region('south', 4);
	t.deepEqual(recipients('north', south, names(south), 1), {direct: south, relays: []});
	t.false(isLargeRegion('south', south));
	t.true(isLargeRegion('south', region('south', 20)));
	t.true([1, 2, 3].every(sequence => isFullHeartbeat(sequence, 10)));
	t.is(Array.from({length: 70}, (_, sequence) => isFullHeartbeat(sequence, 59)).filter(Boolean).length, 10);
});
