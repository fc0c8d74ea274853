import {PauseDetector, SystemTimerService} from '@fescuewick/core';
import {ShareHolder} from '@fescuewick/shares';
import {
	encodeFrame, FrameDecoder, MessageType, packBody, ShareKind, type LoadEntry, type ShareGrant,
} from '@fescuewick/wire';
import {cpuUsPerCall, fitSlope, type Section} from './measure.js';

const workspaceCounts = [8, 100, 1000] as const;
const serviceCounts = [2, 8, 32] as const;

/** Measures the control work of an entry daemon, that is share renewal and a load report each second, and for comparison the cost of taking a request's rate token. */
export async function measureEntry(): Promise<Section> {
	const shares = workspaceCounts.map(count => measureShares(count));
	const loads = serviceCounts.map(count => measureLoads(count));
	return {
		role: 'Entry daemon, control work',
		tables: [{
			title: 'Shares',
			columns: ['active workspaces', 'demand reported and grants credited, CPU µs/s', 'one rate token taken, CPU µs per request'],
			rows: shares,
		}, {
			title: 'Load reports, one per second',
			columns: ['services', 'report bytes', 'report encoded and decoded, CPU µs'],
			rows: loads,
		}],
		slopes: [
			fitSlope('processor time for shares', 'µs/s per workspace', shares.map(row => [row[0], row[1]])),
			fitSlope('bytes of a load report', 'B per service', loads.map(row => [row[0], row[1]])),
			fitSlope('processor time for load reports', 'µs/s per service', loads.map(row => [row[0], row[2]])),
		],
	};
}

function measureShares(count: number): number[] {
	const timers = new SystemTimerService();
	const pauses = new PauseDetector(timers);
	const names = Array.from({length: count}, (_, index) => `workspace-${index}`);
	const grants = names.map((resource): ShareGrant => ({
		kind: ShareKind.rate, resource, ratePerS: 1e6, burst: 1e9, addedTokens: 1e9, slots: 0, connections: 0, expiresInMs: 600_000,
	}));
	const holder = new ShareHolder({
		holder: 'entry', timers, pauses, source: {request: async () => ({epoch: 1, grants: []}), async returnShares() {/* Returned shares are discarded. */}},
	});
	holder.track(names, []);
	let sequence = 0;
	const renew = () => {
		sequence++;
		holder.apply({epoch: 1, grants: grants.map(grant => ({...grant, epoch: 1, sequence}))}, timers.nowMs(), new Map());
	};

	const renewUs = cpuUsPerCall(renew);
	let next = 0;
	const takeUs = cpuUsPerCall(() => {
		for (let request = 0; request < 1000; request++) {
			holder.take(names[next++ % count]);
		}
	}) / 1000;
	pauses.stop();
	return [count, renewUs, takeUs];
}

function measureLoads(count: number): number[] {
	const entries = Array.from({length: count}, (_, index): LoadEntry => ({
		service: `service-${index}`, failureDomain: 'region-0-0', region: 'region-0', capacityPerS: 123.456, loadPerS: 98.765, cold: false, bytesPerRequest: 2345.6, ageMs: 12,
	}));
	const encode = () => encodeFrame(MessageType.loadReport, 0, packBody(MessageType.loadReport, {entries}));
	return [count, encode().length, cpuUsPerCall(() => [...new FrameDecoder().push(encode())])];
}
