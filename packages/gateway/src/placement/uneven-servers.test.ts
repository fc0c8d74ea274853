import test from 'ava';
import {simulateUnevenServers, type UnevenLoad} from '../testing/uneven-servers.js';

const region = (vms: number, servers: number, utilization: number): Omit<UnevenLoad, 'seed'> => ({
	vms, servers, utilization, slots: 5, objects: undefined, durationMs: 15_000,
});
const seeds = ['1', '2'];

/** Means over the seeds. */
function simulate(load: Omit<UnevenLoad, 'seed'>, reportsSlowness: boolean): {meanMs: number; p99Ms: number; unanswered: number} {
	const results = seeds.map(seed => simulateUnevenServers({...load, seed}, reportsSlowness));
	const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
	return {
		meanMs: mean(results.map(({meanMs}) => meanMs)), p99Ms: mean(results.map(({p99Ms}) => p99Ms)), unanswered: mean(results.map(({unanswered}) => unanswered)),
	};
}

for (const [vms, servers, utilization, maxMeanRatio, maxP99Ratio] of [[4, 8, 0.5, 0.99, 1.05], [12, 20, 0.8, 0.98, 1.05], [31, 20, 0.8, 0.96, 1], [31, 62, 0.8, 0.9, 1]] as const) {
	// Guards against a choice that makes requests slower than without the figure: VMs that all send to the server that has just reported to be fast, or that trust an old report.
	test(`requests without an affinity key take less time where servers report their slowness: ${vms} VMs, ${servers} servers, utilization ${utilization}`, t => {
		const before = simulate(region(vms, servers, utilization), false);
		const after = simulate(region(vms, servers, utilization), true);
		t.log(`mean ${before.meanMs.toFixed(1)} to ${after.meanMs.toFixed(1)} ms, p99 ${before.p99Ms.toFixed(0)} to ${after.p99Ms.toFixed(0)} ms, unanswered ${before.unanswered} to ${after.unanswered}`);
		t.true(after.meanMs <= before.meanMs * maxMeanRatio, `mean ${before.meanMs} to ${after.meanMs} ms`);
		t.true(after.p99Ms <= before.p99Ms * maxP99Ratio, `p99 ${before.p99Ms} to ${after.p99Ms} ms`);
	});
}

test('servers that always report the usual speed are chosen at least as well as servers that do not report it', t => {
	// Guards against a preference for servers that answered lately which fills them while others are idle.
	const load = {...region(31, 20, 0.8), slowFraction: 0};
	const before = simulate(load, false);
	const after = simulate(load, true);
	t.true(after.meanMs <= before.meanMs, `mean ${before.meanMs} to ${after.meanMs} ms`);
	t.true(after.p99Ms <= before.p99Ms, `p99 ${before.p99Ms} to ${after.p99Ms} ms`);
});

for (const objects of [34, 252]) {
	// Guards against objects that leave the server which has cached them because its machine is slow for a moment; rules that did so gained nothing in this simulation (docs/placement.md).
	test(`requests for ${objects} objects go to the same servers whether servers report their slowness or not`, t => {
		const load = {...region(12, 20, 0.4), objects, seed: '1'};
		const before = simulateUnevenServers(load, false);
		const after = simulateUnevenServers(load, true);
		t.true(after.knownFraction > 0.1);
		t.deepEqual({...after, knownFraction: 0}, before);
	});
}
