import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {Worker} from 'node:worker_threads';
import {
	createLogger, sha256Hex, SystemTimerService, type Logger,
} from '@fescuewick/core';
import {startEntry} from '@fescuewick/entry';
import {
	shopKey, startDeployment, testConfiguration, type Deployment, type DeploymentOptions,
} from '@fescuewick/entry/testing';
import {TcpTransport, type BackendRecord} from '@fescuewick/wire';
import {startBaselineProxy} from './baseline-proxy.js';
import {unlimitedConfiguration, type ProxyWorkerData} from './proxy-worker.js';
import {
	runClosedLoop, runOpenLoop, type ClosedLoopResult, type SenderResult,
} from './http-load.js';

/*
Measures the request path: overhead, requests per core, fairness and the duration of a drain.
Redirect the log instead of disabling it, so that its cost is included: `node packages/bench/dist/entry-overhead.js 2>/dev/null`.
Arguments select the parts to run (`overhead`, `fairness`, `drain`); the default is all.
*/

const rounds = 7;
const warmUpRounds = 2;
const requestsPerRound = 8000;
const timers = new SystemTimerService();
const logger: Logger = createLogger('bench-entry', 'info');
const headers = {'x-api-key': shopKey};

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

function median(values: readonly number[]): number {
	return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}

/** Starts a server that responds immediately, so that only the path to it is measured. */
async function startInstantServer(): Promise<{url: string; record: BackendRecord; close: () => void}> {
	const content = JSON.stringify({available: 3, figures: ['standing', 'seated', 'child']});
	const server = createServer((request, response) => {
		request.resume();
		response.writeHead(200, {'content-type': 'application/json', 'content-length': content.length});
		response.end(content);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	return {
		url: `http://${address}`,
		record: {
			server: address, service: 'booking', failureDomain: 'a', region: 'r', address, slots: 64, connections: 330, leaving: false,
		},
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}

async function startFreshDeployment(options: DeploymentOptions): Promise<Deployment> {
	const deployment = await startDeployment(options);
	deployment.control.pushPeriodically();
	return deployment;
}

/** Starts a proxy in a separate thread. */
async function startProxyWorker(data: ProxyWorkerData): Promise<{url: string; stop: () => Promise<unknown>}> {
	const worker = new Worker(new URL('proxy-worker.js', import.meta.url), {workerData: data});
	const [url] = await once(worker, 'message') as [string];
	return {url, stop: async () => worker.terminate()};
}

async function measureOverhead(): Promise<void> {
	const servers = await Promise.all([startInstantServer(), startInstantServer(), startInstantServer(), startInstantServer()]);
	const records = servers.map(({record}) => record);
	const workers = await Promise.all([startProxyWorker({kind: 'baseline', records}), startProxyWorker({kind: 'entry', records})]);
	const targets = [['direct', servers[0].url], ['baseline', workers[0].url], ['entry', workers[1].url]] as const;
	// Rate tokens accumulate from zero after the first grant.
	await timers.sleep(500);
	for (const concurrency of [1, 16]) {
		const results = new Map<string, ClosedLoopResult[]>(targets.map(([name]) => [name, []]));
		for (let round = 0; round < warmUpRounds + rounds; round++) {
			for (const [name, url] of targets) {
				const result = await runClosedLoop(url, {count: requestsPerRound, concurrency, headers});
				if (round >= warmUpRounds) {
					results.get(name)!.push(result);
				}
			}
		}

		report(concurrency, results);
	}

	await Promise.all(workers.map(async worker => worker.stop()));
	for (const server of servers) {
		server.close();
	}
}

function report(concurrency: number, results: ReadonlyMap<string, readonly ClosedLoopResult[]>): void {
	const stat = (name: string, field: keyof ClosedLoopResult) => median(results.get(name)!.map(result => result[field]));
	print(`\nconcurrency ${concurrency}, medians of ${rounds} rounds of ${requestsPerRound} requests`);
	for (const [name, list] of results) {
		const failed = list.reduce((sum, result) => sum + result.failed, 0);
		print(`  ${name.padEnd(9)} p50 ${stat(name, 'p50Ms').toFixed(3)} ms  p99 ${stat(name, 'p99Ms').toFixed(3)} ms  cpu ${stat(name, 'cpuUsPerRequest').toFixed(1)} us/request  failed ${failed}`);
	}

	for (const name of ['baseline', 'entry']) {
		print(`  added by ${name}: p50 ${(stat(name, 'p50Ms') - stat('direct', 'p50Ms')).toFixed(3)} ms, p99 ${(stat(name, 'p99Ms') - stat('direct', 'p99Ms')).toFixed(3)} ms`);
	}

	// The load generator and the backend servers cost the same in all three cases, so the difference from the direct call is the cost of the proxy.
	const proxyCpuUs = (name: string, round: number) => results.get(name)![round].cpuUsPerRequest - results.get('direct')![round].cpuUsPerRequest;
	const ratios = Array.from({length: rounds}, (_, round) => proxyCpuUs('baseline', round) / proxyCpuUs('entry', round));
	const requestsPerCore = (name: string) => (1e6 / median(ratios.map((_, round) => proxyCpuUs(name, round)))).toFixed(0);
	print(`  requests per core: baseline ${requestsPerCore('baseline')}/s, entry ${requestsPerCore('entry')}/s, ratio ${median(ratios).toFixed(2)}`);
}

const workspaceNames = ['a', 'b', 'c', 'd'];

function configurationWith(ratePerS: number): unknown {
	return {
		...testConfiguration,
		workspaces: workspaceNames.map(name => ({name, ratePerS, burst: ratePerS})),
		keys: workspaceNames.map(name => ({id: `${name}-1`, workspace: name, sha256: sha256Hex(`key-of-workspace-${name}`)})),
	};
}

const senders = (ratePerS: number) => workspaceNames.map((name, index) => ({name, headers: {'x-api-key': `key-of-workspace-${name}`}, ratePerS: ratePerS * (index === 0 ? 5 : 1)}));

function describe(results: ReadonlyMap<string, SenderResult>): string {
	return [...results].map(([name, {sent, served, refused, failed}]) => {
		const codes = [...refused, ['failed', failed] as const].filter(([, count]) => count > 0).map(([code, count]) => `${code}: ${count}`);
		return `${name} ${served}/${sent}${codes.length === 0 ? '' : ` (${codes.join(', ')})`}`;
	}).join('; ');
}

/** Lowest ratio of served requests to fair share among the workspaces; excludes the first workspace, which sends 5 times its share. The fair share is an equal fraction of all served requests, or the number of sent requests if that is lower. */
function minFairShareFraction(results: ReadonlyMap<string, SenderResult>): number {
	const total = [...results.values()].reduce((sum, {served}) => sum + served, 0);
	return Math.min(...[...results].slice(1).map(([, {served, sent}]) => served / Math.min(sent, total / workspaceNames.length)));
}

async function measureFairness(): Promise<void> {
	const slots = {slots: 8, serviceMs: 20};
	// 16 slots at 20 ms per request serve at most 800 requests/s, that is 200 for each of the 4 workspaces.
	const overloaded = await startFreshDeployment({backends: [slots, slots], configuration: configurationWith(5000), logger});
	await timers.sleep(300);
	const overloadResults = await runOpenLoop(() => overloaded.url, senders(200), 10_000);
	print(`\nfairness at the backend servers, workspace a at 5 times its share: worst-served other ${minFairShareFraction(overloadResults).toFixed(3)}`);
	print(`  ${describe(overloadResults)}`);
	const baseline = await startBaselineProxy(overloaded.backends.map(({url}) => url));
	const baselineResults = await runOpenLoop(() => baseline.url, senders(200), 10_000);
	print(`  baseline proxy: worst-served other ${minFairShareFraction(baselineResults).toFixed(3)}; ${describe(baselineResults)}`);
	await baseline.close();
	await overloaded.stop();

	const rateLimited = await startFreshDeployment({backends: [slots, slots], configuration: configurationWith(60), logger});
	await timers.sleep(1200);
	const rateLimitResults = await runOpenLoop(() => rateLimited.url, senders(60), 10_000);
	const withinRate = [...rateLimitResults].slice(1);
	const sent = withinRate.reduce((sum, [, result]) => sum + result.sent, 0);
	const refused = withinRate.reduce((sum, [, result]) => sum + result.sent - result.served, 0);
	print(`fairness at the rate limit, workspace a at 5 times its rate: wrongful rejections ${refused} of ${sent} (${(100 * refused / sent).toFixed(3)} %)`);
	print(`  ${describe(rateLimitResults)}`);
	await rateLimited.stop();
}

async function measureDrain(): Promise<void> {
	const deployment = await startFreshDeployment({backends: [{serviceMs: 50, slots: 16}], configuration: unlimitedConfiguration, logger});
	const otherEntry = await startEntry({
		location: {vm: 'vm-2', failureDomain: 'a', region: 'r'}, listen: {host: '127.0.0.1', port: 0}, adminListen: {host: '127.0.0.1', port: 0}, controlAddress: deployment.control.address,
	}, {
		timers, transport: new TcpTransport(), logger, random: Math.random,
	});
	await timers.sleep(1500);
	let drainMs = 0;
	const lookupTtlMs = 5000;
	const drain = (async () => {
		await timers.sleep(2000);
		const startedAtMs = timers.nowMs();
		await deployment.entry.drain();
		drainMs = timers.nowMs() - startedAtMs;
	})();
	const startedAtMs = timers.nowMs();
	// Callers use their cached look-up response until its time to live has passed.
	const results = await runOpenLoop(() => timers.nowMs() - startedAtMs < 2000 + lookupTtlMs ? deployment.url : otherEntry.url, [{name: 'callers', headers, ratePerS: 100}], 12_000);
	await drain;
	print(`\ndrain under 100 requests/s: ${(drainMs / 1000).toFixed(2)} s, of which 7 s accept callers with cached lookups; ${describe(results)}`);
	await otherEntry.stop();
	await deployment.stop();
}

const parts: Readonly<Record<string, () => Promise<void>>> = {overhead: measureOverhead, fairness: measureFairness, drain: measureDrain};
const selectedParts = process.argv.slice(2);
for (const [name, measure] of Object.entries(parts)) {
	if (selectedParts.length === 0 || selectedParts.includes(name)) {
		await measure();
	}
}
