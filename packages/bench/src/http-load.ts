import process from 'node:process';
import {build} from 'hdr-histogram-js';
import {SystemTimerService} from '@fescuewick/core';
import {Pool} from 'undici';

const timers = new SystemTimerService();

/** Measurements of a closed-loop run. */
export type ClosedLoopResult = {
	readonly requests: number;
	readonly failed: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	/** CPU time of this process per request, in microseconds; includes the load generator. */
	readonly cpuUsPerRequest: number;
};

/** Sends `count` requests over `concurrency` connections, sequentially on each connection. */
export async function runClosedLoop(url: string, options: {readonly count: number; readonly concurrency: number; readonly headers: Record<string, string>}): Promise<ClosedLoopResult> {
	const {count, concurrency, headers} = options;
	const pool = new Pool(url, {connections: concurrency, pipelining: 1});
	const latencies = build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});
	let remaining = count;
	let failed = 0;
	const startedCpu = process.cpuUsage();
	await Promise.all(Array.from({length: concurrency}, async () => {
		while (remaining-- > 0) {
			const startedAtMs = timers.nowMs();
			const response = await pool.request({method: 'GET', path: '/check/1', headers});
			await response.body.dump();
			failed += response.statusCode === 200 ? 0 : 1;
			latencies.recordValue(Math.max(1, Math.round((timers.nowMs() - startedAtMs) * 1000)));
		}
	}));
	const {user, system} = process.cpuUsage(startedCpu);
	await pool.close();
	return {
		requests: count,
		failed,
		p50Ms: latencies.getValueAtPercentile(50) / 1000,
		p99Ms: latencies.getValueAtPercentile(99) / 1000,
		cpuUsPerRequest: (user + system) / count,
	};
}

/** A sender in an open-loop run. */
export type Sender = {readonly name: string; readonly headers: Record<string, string>; readonly ratePerS: number};

/** Number of a sender's requests by result; `refused` counts by result code, or by HTTP status if there is none. */
export type SenderResult = {sent: number; served: number; readonly refused: Map<string, number>; failed: number};

/** Sends at fixed rates for `durationMs`, without waiting for responses; resolves when all requests have ended. */
export async function runOpenLoop(currentUrl: () => string, senders: readonly Sender[], durationMs: number): Promise<Map<string, SenderResult>> {
	const results = new Map<string, SenderResult>(senders.map(({name}) => [name, {
		sent: 0, served: 0, refused: new Map<string, number>(), failed: 0,
	}]));
	const pools = new Map<string, Pool>();
	const pending = new Set<Promise<void>>();
	const startedAtMs = timers.nowMs();
	while (timers.nowMs() - startedAtMs < durationMs) {
		const elapsedMs = timers.nowMs() - startedAtMs;
		const url = currentUrl();
		const pool = pools.get(url) ?? new Pool(url, {pipelining: 1});
		pools.set(url, pool);
		for (const sender of dueSenders(senders, results, elapsedMs)) {
			const call = send(pool, sender, results.get(sender.name)!);
			pending.add(call);
			void removeWhenDone(pending, call);
		}

		await timers.sleep(5);
	}

	await Promise.all(pending);
	await Promise.all([...pools.values()].map(async pool => pool.destroy()));
	return results;
}

async function removeWhenDone(pending: Set<Promise<void>>, call: Promise<void>): Promise<void> {
	await call;
	pending.delete(call);
}

/** Yields senders with a request due, in round-robin order, once per due request. */
function * dueSenders(senders: readonly Sender[], results: ReadonlyMap<string, SenderResult>, elapsedMs: number): Generator<Sender> {
	for (let isDue = true; isDue;) {
		isDue = false;
		for (const sender of senders) {
			const result = results.get(sender.name)!;
			if (result.sent < sender.ratePerS * elapsedMs / 1000) {
				result.sent++;
				isDue = true;
				yield sender;
			}
		}
	}
}

async function send(pool: Pool, {headers}: Sender, result: SenderResult): Promise<void> {
	try {
		const response = await pool.request({method: 'GET', path: '/check/1', headers});
		await response.body.dump();
		if (response.statusCode === 200) {
			result.served++;
		} else {
			const code = String(response.headers['x-fescuewick-code'] ?? response.statusCode);
			result.refused.set(code, (result.refused.get(code) ?? 0) + 1);
		}
	} catch {
		result.failed++;
	}
}
