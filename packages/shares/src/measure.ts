import {
	ManualTimerService, PauseDetector, SystemTimerService, type TimerService,
} from '@fescuewick/core';
import {ShareKind} from '@fescuewick/wire';
import {ShareHolder} from './holder/share-holder.js';
import {
	createFleet, DemandShape, runPhase, type Phase, type PhaseResult,
} from './simulation/scenario.js';

const takes = 5_000_000;

const phases: readonly Phase[] = [
	{
		name: 'start-up', shape: DemandShape.even, load: 1.5, durationS: 20, storeDown: false,
	},
	{
		name: 'even, demand 1.5 x rate', shape: DemandShape.even, load: 1.5, durationS: 40, storeDown: false,
	},
	{
		name: 'even, demand 0.8 x rate', shape: DemandShape.even, load: 0.8, durationS: 60, storeDown: false,
	},
	{
		name: 'one VM killed, 0.8 x rate', shape: DemandShape.even, load: 0.8, durationS: 20, storeDown: false, kill: 'domain-0-1',
	},
	{
		name: 'VM replaced, 0.8 x rate', shape: DemandShape.even, load: 0.8, durationS: 20, storeDown: false, replace: 'domain-0-1',
	},
	{
		name: 'skewed, first 20 s', shape: DemandShape.skewed, load: 1.5, durationS: 20, storeDown: false,
	},
	{
		name: 'skewed, demand 1.5 x rate', shape: DemandShape.skewed, load: 1.5, durationS: 40, storeDown: false,
	},
	{
		name: 'skewed, demand 0.8 x rate', shape: DemandShape.skewed, load: 0.8, durationS: 60, storeDown: false,
	},
	{
		name: 'moving every 20 s', shape: DemandShape.moving, load: 1.5, durationS: 120, storeDown: false,
	},
	{
		name: 'store down, even', shape: DemandShape.even, load: 1.5, durationS: 60, storeDown: true,
	},
	{
		name: 'store back, even', shape: DemandShape.even, load: 1.5, durationS: 60, storeDown: false,
	},
	{
		name: 'store down, demand as before', shape: DemandShape.even, load: 1.5, durationS: 60, storeDown: true,
	},
	{
		name: 'store down, skewed', shape: DemandShape.skewed, load: 1.5, durationS: 60, storeDown: true,
	},
	{
		name: 'store down, moving', shape: DemandShape.moving, load: 1.5, durationS: 60, storeDown: true,
	},
	{
		name: 'store back, moving', shape: DemandShape.moving, load: 1.5, durationS: 120, storeDown: false,
	},
	{
		name: 'even again, demand 1.5 x rate', shape: DemandShape.even, load: 1.5, durationS: 40, storeDown: false,
	},
	{
		name: 'VM stopped as planned, 1.5 x rate', shape: DemandShape.even, load: 1.5, durationS: 10, storeDown: false, stop: 'domain-0-0',
	},
];

function measureTakeNs(outcome: 'granted' | 'refused'): number {
	const timers: TimerService = new SystemTimerService();
	const pauses = new PauseDetector(timers);
	const holder = new ShareHolder({
		holder: 'measure', timers, pauses, source: {
			request: async () => ({epoch: 0, grants: []}),
			async returnShares() {
				// Nothing is held at a source.
			},
		},
	});
	holder.track(['w'], []);
	const tokens = outcome === 'granted' ? 1e9 : 0;
	const nowMs = timers.nowMs();
	holder.apply({
		epoch: 1, grants: [{
			kind: ShareKind.rate, resource: 'w', ratePerS: outcome === 'granted' ? 1e6 : 1e-6, burst: 1e9, addedTokens: tokens, slots: 0, connections: 0, expiresInMs: 600_000, epoch: 1, sequence: 1,
		}],
	}, nowMs, new Map());
	const run = () => {
		const startMs = timers.nowMs();
		for (let index = 0; index < takes; index++) {
			holder.take('w');
		}

		return (timers.nowMs() - startMs) * 1e6 / takes;
	};

	run();
	const nanoseconds = run();
	pauses.stop();
	return nanoseconds;
}

function row(cells: readonly string[]): string {
	return `| ${cells.join(' | ')} |`;
}

const percent = (value: number) => `${(value * 100).toFixed(1)} %`;

function phaseRow(result: PhaseResult, baseline: PhaseResult): string {
	return row([
		result.name,
		percent(result.usedFraction),
		percent(result.worstFraction),
		percent(result.refusedFraction),
		result.storeCallsPerS.toFixed(2),
		percent(baseline.usedFraction),
		percent(baseline.worstFraction),
		percent(baseline.refusedFraction),
	]);
}

async function measureFleet(vmCount: number): Promise<void> {
	const results: PhaseResult[][] = [];
	const summary: string[] = [];
	for (const isStatic of [false, true]) {
		const timers = new ManualTimerService();
		const fleet = createFleet(timers, vmCount, isStatic);
		const phaseResults: PhaseResult[] = [];
		for (const phase of phases) {
			phaseResults.push(await runPhase(fleet, timers, phase));
		}

		results.push(phaseResults);
		const ratio = Math.max(...[...fleet.checks.values()].map(check => check.maxRatio()));
		const seconds = timers.nowMs() / 1000;
		const bytes = `${Math.round(fleet.messageBytes / seconds / vmCount)} B/s on loopback, ${Math.round(fleet.peerBytes / seconds / vmCount)} B/s between VMs`;
		summary.push(`- ${isStatic ? 'static' : 'leased'}: granted/entitled at most ${ratio.toFixed(4)} over all windows; share messages per VM: ${bytes}`);
	}

	console.log(`\n${vmCount} VMs in 6 failure domains, 8 workspaces\n`);
	console.log(row(['phase', 'used', 'worst workspace', 'refused', 'store calls/s per domain', 'static: used', 'static: worst', 'static: refused']));
	console.log(row(Array.from({length: 8}, () => '---')));
	for (const [index, result] of results[0].entries()) {
		console.log(phaseRow(result, results[1][index]));
	}

	console.log(`\n${summary.join('\n')}`);
}

console.log(`take: ${measureTakeNs('granted').toFixed(0)} ns granted, ${measureTakeNs('refused').toFixed(0)} ns refused (${takes} takes)`);
for (const vmCount of [8, 11]) {
	await measureFleet(vmCount);
}
