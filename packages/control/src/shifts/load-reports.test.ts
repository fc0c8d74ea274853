import test from 'ava';
import {ManualTimerService, rendezvousOrder} from '@fescuewick/core';
import {FakePeerHub, memoryRecord, startMeshes} from '@fescuewick/membership';
import {
	MemoryNetwork, MessageType, type DomainLoad, type LoadEntry, type VmRecord,
} from '@fescuewick/wire';
import {DomainLoads} from './domain-loads.js';
import {LoadReports} from './load-reports.js';

const service = 'booking';

function entryOf({failureDomain, region}: Pick<VmRecord, 'failureDomain' | 'region'>, loadPerS = 10): LoadEntry {
	return {
		service, failureDomain, region, capacityPerS: 20, loadPerS, cold: false, bytesPerRequest: 1000, ageMs: 0,
	};
}

/** Nodes of failure domains on a fake peer network; each VM that is not muted reports a load of 10 requests per second and a capacity of 20. */
function setUp(nodesPerDomain: number, domains = ['x1', 'y1']) {
	const timers = new ManualTimerService();
	const hub = new FakePeerHub(timers);
	const nodes = new Map<string, LoadReports>();
	const add = (domain: string, index: number, nonce = 'n') => {
		const record = memoryRecord(`${domain}-${index}`, domain);
		const reports = new LoadReports(hub.add(record, {vm: record.vm, startedAtMs: 0, nonce}), timers);
		reports.start();
		nodes.set(record.vm, reports);
	};

	for (const domain of domains) {
		for (let index = 0; index < nodesPerDomain; index++) {
			add(domain, index);
		}
	}

	/** Advances the time and calls `check` every 100 ms. */
	const run = async (seconds: number, {muted = [], check}: {readonly muted?: readonly string[]; readonly check?: () => void} = {}) => {
		for (let step = 0; step < seconds * 10; step++) {
			for (const [vm, reports] of step % 10 === 0 ? nodes : []) {
				if (!hub.deadVms.has(vm) && !muted.includes(vm)) {
					reports.addLocalReport([entryOf(hub.nodes.get(vm)!.self)]);
				}
			}

			await timers.advance(100);
			check?.();
		}
	};

	const loadHeldBy = (vm: string, domain: string) => nodes.get(vm)!.entries().find(entry => entry.failureDomain === domain);
	const aggregatorOf = (domain: string) => [...nodes].find(([vm, reports]) => vm.startsWith(domain) && !hub.deadVms.has(vm) && reports.isAggregator)![0];
	return {
		timers, hub, nodes, run, loadHeldBy, aggregatorOf, add,
	};
}

// Guards against sums that include linked nodes only: in a failure domain of more than 32 nodes a node has links to only a few others.
test('all nodes count the complete load of a failure domain that is too large for a full mesh', async t => {
	const timers = new ManualTimerService();
	const network = new MemoryNetwork(timers);
	const records = Array.from({length: 40}, (_, index) => memoryRecord(`x1-${index}`, 'x1'));
	records.push(memoryRecord('y1-0', 'y1'), memoryRecord('y1-1', 'y1'));
	const meshes = await startMeshes(network, records);
	const reports = meshes.map(mesh => new LoadReports(mesh, timers));
	await timers.advance(5000);
	for (const report of reports) {
		report.start();
	}

	for (let second = 0; second < 8; second++) {
		for (const [index, report] of reports.entries()) {
			report.addLocalReport([entryOf(records[index])]);
		}

		await timers.advance(1000);
	}

	t.true(meshes.filter(mesh => mesh.linkCount < 20).length > 35);
	for (const report of reports) {
		const entries = new Map(report.entries().map(entry => [entry.failureDomain, entry]));
		t.is(entries.get('x1')?.loadPerS, 400);
		t.is(entries.get('x1')?.capacityPerS, 800);
		t.is(entries.get('y1')?.loadPerS, 20);
		t.true(entries.get('x1')!.ageMs < 5000 && entries.get('y1')!.ageMs < 5000);
	}

	for (const [index, report] of reports.entries()) {
		report.stop();
		await meshes[index].stop();
	}
});

// Guards against loads that become older between two refreshes than the age up to which they count as fresh, so that no shift could grow.
test('steady loads stay fresh on all nodes', async t => {
	const {run, nodes, loadHeldBy} = setUp(6);
	await run(4);
	let oldestMs = 0;
	await run(20, {
		check() {
			oldestMs = Math.max(oldestMs, ...[...nodes.keys()].flatMap(vm => [loadHeldBy(vm, 'x1')!.ageMs, loadHeldBy(vm, 'y1')!.ageMs]));
		},
	});
	// Snapshots to the look-up daemon add up to 1 s.
	t.true(oldestMs < 4000);
	t.true(oldestMs > 1000);
});

// Guards against a VM that is counted twice, or a load that is lost, when another VM becomes the aggregator.
test('the successor of a dead aggregator counts each VM once, and until then the sum shows its age', async t => {
	const {run, hub, nodes, loadHeldBy, aggregatorOf} = setUp(5);
	await run(5);
	const firstAggregator = aggregatorOf('x1');
	hub.kill(firstAggregator);
	const others = [...nodes.keys()].filter(vm => vm !== firstAggregator);
	await run(1);
	await run(15, {
		check() {
			for (const vm of others) {
				t.true(loadHeldBy(vm, 'x1')!.loadPerS <= 50);
				t.true(loadHeldBy(vm, 'x1')!.ageMs < 8000);
			}
		},
	});
	t.not(aggregatorOf('x1'), firstAggregator);
	for (const vm of others) {
		t.is(loadHeldBy(vm, 'x1')!.loadPerS, 40);
		t.is(loadHeldBy(vm, 'x1')!.capacityPerS, 80);
		t.true(loadHeldBy(vm, 'x1')!.ageMs < 5000);
	}
});

// Guards against sums that alternate when nodes have different views: both aggregators of a partitioned failure domain send their sums to the other failure domains.
test('of two aggregators the other failure domains use the sums of the one that counts more VMs', async t => {
	const {run, hub, nodes, loadHeldBy, aggregatorOf} = setUp(5);
	await run(5);
	const first = aggregatorOf('x1');
	const order = rendezvousOrder('load-aggregator', [...nodes.keys()].filter(vm => vm.startsWith('x1')));
	t.is(order[0], first);
	const [, second, ...others] = order;
	for (const vm of [first, others[0], others[1]]) {
		hub.cut(vm, second);
		hub.cut(vm, others[2]);
	}

	await run(10);
	t.true(nodes.get(first)!.isAggregator && nodes.get(second)!.isAggregator);
	let steps = 0;
	await run(10, {
		check() {
			if (++steps % 10 === 5) {
				// Changes the sum of the second aggregator between two sums of the first.
				nodes.get(second)!.addLocalReport([entryOf(hub.nodes.get(second)!.self, 20)]);
			}

			for (const vm of ['y1-0', 'y1-1', 'y1-2']) {
				t.is(loadHeldBy(vm, 'x1')!.loadPerS, 30);
				t.true(loadHeldBy(vm, 'x1')!.ageMs < 5000);
			}
		},
	});
	hub.heal();
	await run(8);
	// The remainder of the smoothed change is below 1.
	t.is(Math.round(loadHeldBy('y1-0', 'x1')!.loadPerS), 50);
});

// Guards against sums that appear fresh because they are repeated although no VM has measured its load.
test('ages grow on all nodes while entry daemons are silent, also after a change of the aggregator', async t => {
	const {run, hub, nodes, loadHeldBy, aggregatorOf} = setUp(4);
	await run(5);
	const mutedVms = [...nodes.keys()].filter(vm => vm.startsWith('x1'));
	await run(3, {muted: mutedVms});
	const firstAggregator = aggregatorOf('x1');
	hub.kill(firstAggregator);
	await run(5, {muted: mutedVms});
	for (const vm of nodes.keys()) {
		if (vm !== firstAggregator) {
			t.true(loadHeldBy(vm, 'x1')!.ageMs > 7000);
			t.true(loadHeldBy(vm, 'y1')!.ageMs < 5000);
		}
	}

	await run(30, {muted: mutedVms});
	t.true([...nodes.keys()].filter(vm => vm !== firstAggregator).every(vm => loadHeldBy(vm, 'x1')!.ageMs > 30_000));
});

// Guards against a new aggregator that has no report of a VM whose entry daemon is silent, and so presents the load of the other VMs as the complete and fresh load.
test('a new aggregator counts the load of a VM whose entry daemon is silent', async t => {
	const {run, hub, nodes, loadHeldBy, aggregatorOf} = setUp(5);
	await run(5);
	const firstAggregator = aggregatorOf('x1');
	const silent = [...nodes.keys()].find(vm => vm.startsWith('x1') && vm !== firstAggregator)!;
	await run(1, {muted: [silent]});
	hub.kill(firstAggregator);
	await run(8, {muted: [silent]});
	for (const vm of nodes.keys()) {
		if (vm !== firstAggregator) {
			t.is(loadHeldBy(vm, 'x1')!.loadPerS, 40);
			t.is(loadHeldBy(vm, 'x1')!.capacityPerS, 60);
			t.true(loadHeldBy(vm, 'x1')!.ageMs > 7000);
		}
	}
});

// Guards against reports that waited in the socket buffers of a paused process and are treated as recent.
test('an aggregator that was paused shows the age of its sums and ignores reports that waited in its buffers', async t => {
	const {run, hub, nodes, aggregatorOf, timers, loadHeldBy} = setUp(3);
	await run(5);
	const aggregator = aggregatorOf('x1');
	const ageBeforePauseMs = loadHeldBy(aggregator, 'x1')!.ageMs;
	const otherVms = [...nodes.keys()].filter(vm => vm.startsWith('x1') && vm !== aggregator);
	timers.pause(20_000);
	for (const vm of otherVms) {
		void hub.nodes.get(vm)!.request(aggregator, MessageType.loadReport, {entries: [entryOf(hub.nodes.get(vm)!.self, 19)]}, 500);
	}

	await timers.advance(400);
	t.true(loadHeldBy(aggregator, 'x1')!.ageMs >= 20_000 + ageBeforePauseMs);
	await timers.advance(3000);
	t.true(loadHeldBy(aggregator, 'x1')!.ageMs >= 20_000 + ageBeforePauseMs);
	await run(5);
	t.is(loadHeldBy(aggregator, 'x1')!.loadPerS, 30);
	t.true(loadHeldBy(aggregator, 'x1')!.ageMs < 5000);
});

function sumOf(source: number, sequence: number, vms: number, ageMs: number): DomainLoad {
	return {
		failureDomain: 'x1', region: 'x', source, sequence, vms, entries: [{...entryOf({failureDomain: 'x1', region: 'x'}, vms * 10), ageMs}],
	};
}

// Guards against sums of two aggregators that are added, alternate, or arrive again by a slower path.
test('of two sources the sum that counts more VMs is kept, and the other replaces it after its source has been silent', async t => {
	const timers = new ManualTimerService();
	const loads = new DomainLoads(timers);
	t.true(loads.update(sumOf(1, 5, 3, 100)));
	t.false(loads.update(sumOf(1, 5, 3, 0)));
	t.false(loads.update(sumOf(1, 4, 5, 0)));
	t.false(loads.update(sumOf(2, 1, 2, 0)));
	t.false(loads.update(sumOf(2, 2, 3, 0)));
	t.is(loads.entries().length, 1);
	t.is(loads.entries()[0].loadPerS, 30);
	t.false(loads.update(sumOf(3, 1, 4, 5000)), 'its measurements are older');
	t.true(loads.update(sumOf(3, 1, 4, 500)));
	await timers.advance(2600);
	t.is(loads.entries()[0].ageMs, 3100);
	t.true(loads.update(sumOf(2, 3, 3, 0)));
	t.is(loads.entries().length, 1);
	t.is(loads.entries()[0].loadPerS, 30);
});

// Guards against a sum for the failure domain of the receiver from a node of another one, which may be wrong or outdated.
test('a node accepts a sum for its own failure domain only from nodes of that failure domain', async t => {
	const {run, hub, loadHeldBy, timers} = setUp(2);
	await run(5);
	void hub.nodes.get('y1-0')!.request('x1-0', MessageType.domainLoads, {sums: [sumOf(9, 1000, 50, 0)]}, 500);
	await timers.advance(10);
	t.is(loadHeldBy('x1-0', 'x1')!.loadPerS, 20);
});
