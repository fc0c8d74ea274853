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
} from './load.js';

/*
Measures the request path: overhead, requests per core, fairness and a drain.
Run with the log redirected, so that its cost is included: `node packages/bench/dist/entry-overhead.js 2>/dev/null`;
arguments select parts (`overhead`, `fairness`, `drain`).
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

/** A server that answers at once, so that the path to it is what is measured. */
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

/** Starts a proxy on a thread of its own. */
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
	// Tokens grow from zero with the first grant.
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
	const of = (name: string, field: keyof ClosedLoopResult) => median(results.get(name)!.map(result => result[field]));
	print(`\nconcurrency ${concurrency}, medians of ${rounds} rounds of ${requestsPerRound} requests`);
	for (const [name, list] of results) {
		const failed = list.reduce((sum, result) => sum + result.failed, 0);
		print(`  ${name.padEnd(9)} p50 ${of(name, 'p50Ms').toFixed(3)} ms  p99 ${of(name, 'p99Ms').toFixed(3)} ms  cpu ${of(name, 'cpuUsPerRequest').toFixed(1)} us/request  failed ${failed}`);
	}

	for (const name of ['baseline', 'entry']) {
		print(`  added by ${name}: p50 ${(of(name, 'p50Ms') - of('direct', 'p50Ms')).toFixed(3)} ms, p99 ${(of(name, 'p99Ms') - of('direct', 'p99Ms')).toFixed(3)} ms`);
	}

	// Load and backend servers cost the same in all three cases, so that the difference to the direct call is the proxy's own cost.
	const own = (name: string, round: number) => results.get(name)![round].cpuUsPerRequest - results.get('direct')![round].cpuUsPerRequest;
	const ratios = Array.from({length: rounds}, (_, round) => own('baseline', round) / own('entry', round));
	const perCore = (name: string) => (1e6 / median(ratios.map((_, round) => own(name, round)))).toFixed(0);
	print(`  requests per core: baseline ${perCore('baseline')}/s, entry ${perCore('entry')}/s, ratio ${median(ratios).toFixed(2)}`);
}

const names = ['a', 'b', 'c', 'd'];

function configurationWith(ratePerS: number): unknown {
	return {
		...testConfiguration,
		workspaces: names.map(name => ({name, ratePerS, burst: ratePerS})),
		keys: names.map(name => ({id: `${name}-1`, workspace: name, sha256: sha256Hex(`key-of-workspace-${name}`)})),
	};
}

const senders = (ratePerS: number) => names.map((name, index) => ({name, headers: {'x-api-key': `key-of-workspace-${name}`}, ratePerS: ratePerS * (index === 0 ? 5 : 1)}));

function describe(results: ReadonlyMap<string, SenderResult>): string {
	return [...results].map(([name, {sent, served, refused, failed}]) => {
		const codes = [...refused, ['failed', failed] as const].filter(([, count]) => count > 0).map(([code, count]) => `${code}: ${count}`);
		return `${name} ${served}/${sent}${codes.length === 0 ? '' : ` (${codes.join(', ')})`}`;
	}).join('; ');
}

/** Served part of the fair share of the worst-served workspace other than the one that floods. */
function worstShare(results: ReadonlyMap<string, SenderResult>): number {
	const total = [...results.values()].reduce((sum, {served}) => sum + served, 0);
	return Math.min(...[...results].slice(1).map(([, {served, sent}]) => served / Math.min(sent, total / names.length)));
}

async function measureFairness(): Promise<void> {
	const slots = {slots: 8, serviceMs: 20};
	// 16 slots at 20 ms carry at most 800 requests/s: 200 for each workspace.
	const overloaded = await startFreshDeployment({backends: [slots, slots], configuration: configurationWith(5000), logger});
	await timers.sleep(300);
	const queued = await runOpenLoop(() => overloaded.url, senders(200), 10_000);
	print(`\nfairness at the backend servers, workspace a at 5 times its share: worst-served other ${worstShare(queued).toFixed(3)}`);
	print(`  ${describe(queued)}`);
	const baseline = await startBaselineProxy(overloaded.backends.map(({url}) => url));
	const plain = await runOpenLoop(() => baseline.url, senders(200), 10_000);
	print(`  baseline proxy: worst-served other ${worstShare(plain).toFixed(3)}; ${describe(plain)}`);
	await baseline.close();
	await overloaded.stop();

	const limited = await startFreshDeployment({backends: [slots, slots], configuration: configurationWith(60), logger});
	await timers.sleep(1200);
	const admitted = await runOpenLoop(() => limited.url, senders(60), 10_000);
	const within = [...admitted].slice(1);
	const sent = within.reduce((sum, [, result]) => sum + result.sent, 0);
	const refused = within.reduce((sum, [, result]) => sum + result.sent - result.served, 0);
	print(`fairness at the rate limit, workspace a at 5 times its rate: wrongful rejections ${refused} of ${sent} (${(100 * refused / sent).toFixed(3)} %)`);
	print(`  ${describe(admitted)}`);
	await limited.stop();
}

async function measureDrain(): Promise<void> {
	const deployment = await startFreshDeployment({backends: [{serviceMs: 50, slots: 16}], configuration: unlimitedConfiguration, logger});
	const other = await startEntry({
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
	// Callers keep to their cached lookup for its time to live.
	const results = await runOpenLoop(() => timers.nowMs() - startedAtMs < 2000 + lookupTtlMs ? deployment.url : other.url, [{name: 'callers', headers, ratePerS: 100}], 12_000);
	await drain;
	print(`\ndrain under 100 requests/s: ${(drainMs / 1000).toFixed(2)} s, of which 7 s accept callers with cached lookups; ${describe(results)}`);
	await other.stop();
	await deployment.stop();
}

const parts: Readonly<Record<string, () => Promise<void>>> = {overhead: measureOverhead, fairness: measureFairness, drain: measureDrain};
const wanted = process.argv.slice(2);
for (const [name, measure] of Object.entries(parts)) {
	if (wanted.length === 0 || wanted.includes(name)) {
		await measure();
	}
}
