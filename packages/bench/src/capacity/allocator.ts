import process from 'node:process';
import {
	createIncarnation, createSilentLogger, ManualTimerService, PauseDetector,
} from '@fescuewick/core';
import {FakePeerHub, memoryRecord} from '@fescuewick/membership';
import {LeasedShareService} from '@fescuewick/shares';
import {MemoryObjectStore} from '@fescuewick/store';
import {ShareKind, type ShareDemand, type ShareGrant} from '@fescuewick/wire';
import {
	cpuSinceUs, fitSlope, roundTo4Digits, usedBytes, type Section,
} from './measure.js';

const holderCounts = [20, 100, 292] as const;
/** Active workspaces of each holder; in this measurement one VM allocates all of their buckets. */
const workspaceCount = 50;
const warmUpRounds = 8;
const rounds = 10;
const roundMs = 1000;

/** Measures CPU time and memory of share allocation by the number of holders, without encoding and without a network. */
export async function measureAllocator(): Promise<Section> {
	const rows: number[][] = [];
	for (const holders of holderCounts) {
		rows.push(await measureSize(holders));
	}

	return {
		role: 'Share allocator',
		tables: [{
			title: `One VM allocates ${workspaceCount} workspaces to all holders of its failure domain, one renewal of each a second`,
			columns: ['holders', 'renewals/s', 'CPU µs per renewal of a workspace', 'memory, bytes per holder and workspace', 'part of the rates granted'],
			rows,
		}],
		slopes: [
			fitSlope('processor time of all renewals by holders', 'µs/s per holder', rows.map(row => [row[0], row[1] * row[2]])),
			fitSlope('memory by leases', 'B per holder and workspace', rows.map(row => [row[1], row[1] * row[3]])),
		],
	};
}

/** Simulates the holder's side of the share protocol. */
class SimulatedHolder {
	readonly #grants = new Map<string, ShareGrant>();

	constructor(readonly name: string, readonly workspaces: readonly string[]) {}

	demands(): ShareDemand[] {
		return this.workspaces.map(resource => {
			const grant = this.#grants.get(resource);
			return {
				kind: ShareKind.rate,
				resource,
				wanted: 1,
				tokens: 0,
				...(grant === undefined
					? {}
					: {
						held: {
							epoch: grant.epoch!, sequence: grant.sequence!, ratePerS: grant.ratePerS, burst: grant.burst, slots: 0, connections: 0, surrenderedTokens: 0,
						},
						seenEpoch: grant.epoch,
					}),
			};
		});
	}

	applyGrants(grants: readonly ShareGrant[]): void {
		for (const grant of grants) {
			this.#grants.set(grant.resource, grant);
		}
	}

	get ratePerS(): number {
		return [...this.#grants.values()].reduce((sum, {ratePerS}) => sum + ratePerS, 0);
	}
}

async function measureSize(holderCount: number): Promise<number[]> {
	const timers = new ManualTimerService();
	const names = Array.from({length: workspaceCount}, (_, index) => `workspace-${index}`);
	const ratePerS = 2 * holderCount;
	const service = new LeasedShareService({
		peers: new FakePeerHub(timers).add(memoryRecord('vm', 'd'), createIncarnation('vm', timers)),
		store: new MemoryObjectStore(timers),
		timers,
		pauses: new PauseDetector(timers),
		settings: () => ({revision: 1, rates: new Map(names.map(name => [name, {ratePerS, burst: ratePerS}])), servers: new Map()}),
		logger: createSilentLogger(),
	});
	service.start();
	await timers.advance(10_000);
	const holders = Array.from({length: holderCount}, (_, index) => new SimulatedHolder(`holder-${index}`, names));
	const before = usedBytes();
	let cpuUs = 0;
	for (let round = 0; round < warmUpRounds + rounds; round++) {
		await timers.advance(roundMs);
		const cpu = process.cpuUsage();
		for (const holder of holders) {
			// A request to the node itself goes through the peer network, whose timers advance only manually.
			const answer = service.request({holder: holder.name, epoch: 0, demands: holder.demands()});
			await timers.advance(0);
			const {grants} = await answer;
			holder.applyGrants(grants);
		}

		cpuUs += round < warmUpRounds ? 0 : cpuSinceUs(cpu);
	}

	const leases = holderCount * workspaceCount;
	const grantedPerS = holders.reduce((sum, holder) => sum + holder.ratePerS, 0);
	const memoryBytes = usedBytes() - before;
	await service.stop();
	return [holderCount, leases, cpuUs / rounds / leases, memoryBytes / leases, roundTo4Digits(grantedPerS / (ratePerS * workspaceCount))];
}
