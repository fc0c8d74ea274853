import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {Agent, request as sendRequest} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {freePorts} from '@fescuewick/core';
import {
	callerHeaders, configurationObject, FakePlatformServer, FakePlatformStore, readinessPath, serverObject, StoreKind,
} from '@fescuewick/platform/stand-ins';
import {sleep, waitUntil} from '../caller.js';

const program = fileURLToPath(new URL('../../../../../platform/dist/main.js', import.meta.url));
const service = 'stock';
/** Interval at which memory and descriptors of the process are read, in milliseconds. */
const sampleIntervalMs = 50;
/** Longest time for an ordinary request to be answered, with all its repeats; it only ends a test of a process that hangs. */
const ordinaryRequestLimitMs = 30_000;

export const host = 'shop.test';
export const key = 'key-shop';
/** Key that only one version of the configuration has. */
export const keyOfVersion = (version: number): string => `key-of-${version}`;

/** The listeners of a gateway that clients can reach over TCP. */
export enum Listener {
	entry = 'entry',
	readiness = 'readiness',
	directory = 'directory',
	peers = 'peers',
	metrics = 'metrics',
}

/** Limits of the process, and what its backend server does. */
export type GatewayOptions = {
	/** Limit of the JavaScript heap, in MB. */
	readonly heapMb: number;
	/** Limit of open descriptors. */
	readonly descriptors: number;
	/** Processing time of a request at the backend server, in milliseconds. */
	readonly workMs?: number;
	/** Length of a response of the backend server, in bytes. */
	readonly answerBytes?: number;
	/** Settings besides the usual ones. */
	readonly settings?: Readonly<Record<string, unknown>>;
};

/** The part of a test's context that a gateway needs. */
type TestContext = {teardown(cleanUp: () => Promise<void>): void};

/** What was measured at the process. */
export type Measurements = {readonly peakMb: number; readonly peakDescriptors: number; readonly logBytes: number; readonly ended: string | undefined};

/** A gateway in a process of its own, with a stand-in of the store and of one backend server in the test's process. */
export class GatewayUnderTest {
	/** Starts a gateway; it is killed when the test ends. */
	static async start(t: TestContext, options: GatewayOptions): Promise<GatewayUnderTest> {
		const gateway = new GatewayUnderTest(options);
		t.teardown(async () => gateway.#close());
		await gateway.#start();
		return gateway;
	}

	readonly ports = new Map<Listener, number>();
	readonly #directory = mkdtempSync(path.join(tmpdir(), 'untrusted-clients-'));
	readonly #store = new FakePlatformStore();
	readonly #server: FakePlatformServer;
	#child: ChildProcess | undefined;
	#ended: string | undefined;
	#peakMb = 0;
	#peakDescriptors = 0;
	#logBytes = 0;
	#sampling: NodeJS.Timeout | undefined;

	private constructor(private readonly options: GatewayOptions) {
		this.#server = new FakePlatformServer({
			id: 'server-1', slots: 64, workMs: options.workMs ?? 0, answerBytes: options.answerBytes, nowMs: () => performance.now(), onArrival: () => undefined, onRun: () => undefined,
		});
	}

	get measurements(): Measurements {
		return {
			peakMb: Math.round(this.#peakMb), peakDescriptors: this.#peakDescriptors, logBytes: this.#logBytes, ended: this.#ended,
		};
	}

	/** The text of the metrics endpoint. */
	async metrics(): Promise<string> {
		const response = await fetch(`http://127.0.0.1:${this.ports.get(Listener.metrics)}/metrics`);
		return response.text();
	}

	/** Writes a version of the configuration with one workspace, and one with a key of the version. */
	configure(version: number, idleRoutes = 0): void {
		this.#store.set(StoreKind.configuration, 'main', configurationObject({
			version, service, host, timeoutMs: 8000, idleRoutes, workspaces: [key, keyOfVersion(version)].map((key, index) => ({
				name: `shop-${index}`, key, ratePerS: 100_000, burst: 100_000,
			})),
		}));
	}

	/** Stops the process with SIGSTOP for a time while `meanwhile` runs. */
	async freezeWhile(meanwhile: () => Promise<void>): Promise<void> {
		this.#child!.kill('SIGSTOP');
		await meanwhile();
		this.#child!.kill('SIGCONT');
	}

	/** Sends SIGTERM and resolves with the exit code. */
	async stop(): Promise<number | undefined> {
		const child = this.#child!;
		child.kill('SIGTERM');
		if (child.exitCode === null && child.signalCode === null) {
			await once(child, 'exit');
		}

		return child.exitCode ?? undefined;
	}

	/** Sends an ordinary request on a new connection, again if it is refused or cut; resolves with the first status below 500 other than 429, or with the last problem. */
	async ordinaryRequest(listener: Listener, requestPath: string, requestKey = key): Promise<string> {
		const startedAtMs = performance.now();
		let result = 'not sent';
		while (this.#ended === undefined && performance.now() - startedAtMs < ordinaryRequestLimitMs) {
			result = await this.#send(listener, requestPath, requestKey);
			if (/^[1-4]\d\d$/.test(result) && result !== '429') {
				return result;
			}

			await sleep(200);
		}

		return result;
	}

	async #send(listener: Listener, requestPath: string, requestKey = key): Promise<string> {
		const agent = new Agent();
		try {
			const request = sendRequest({
				agent, host: '127.0.0.1', port: this.ports.get(listener), path: requestPath, timeout: 10_000, headers: {
					host, ...callerHeaders({
						id: `ordinary-${performance.now()}`, key: requestKey, timeLeftMs: 8000, object: 'a',
					}),
				},
			});
			request.on('timeout', () => {
				request.destroy(new Error('no response within 10 s'));
			});
			request.end();
			const [response] = await once(request, 'response') as [AsyncIterable<unknown> & {statusCode: number}];

			for await (const _ of response) {
				// The response must arrive as a whole.
			}

			return String(response.statusCode);
		} catch (error) {
			return (error as Error).message;
		} finally {
			agent.destroy();
		}
	}

	async #start(): Promise<void> {
		const {heapMb, descriptors, settings} = this.options;
		const storeAddress = await this.#store.listen();
		this.configure(1);
		this.#store.set(StoreKind.servers, 'server-1', serverObject({
			service, address: await this.#server.listen(), failureDomain: 'domain-a', slots: 64, isDraining: false,
		}));
		const listeners = Object.values(Listener);
		const [heartbeats, ...ports] = await freePorts(listeners.length + 1);
		for (const [index, listener] of listeners.entries()) {
			this.ports.set(listener, ports[index]);
		}

		// JSON is a part of YAML.
		const file = path.join(this.#directory, 'settings.yaml');
		writeFileSync(file, JSON.stringify({
			location: {vm: 'vm-a', failureDomain: 'domain-a', region: 'region-a'},
			regions: {'domain-a': 'region-a'},
			listen: {heartbeats: `127.0.0.1:${heartbeats}`, ...Object.fromEntries([...this.ports].map(([listener, port]) => [listener, `127.0.0.1:${port}`]))},
			seeds: [],
			store: {address: storeAddress},
			bounds: {
				graceMs: 6000, maxDirectoryTtlMs: 5000, retryRatio: 0.2, retrySlack: 50, retryWindowMs: 10_000, coldOvershoot: 1.5, coldSlack: 5, rateOvershoot: 0.1, rateSlack: 20, rateWindowMs: 5000, shiftMost: 0.15,
			},
			...settings,
		}));
		const child = spawn('/bin/sh', ['-c', `ulimit -n ${descriptors}; exec "$0" "$@"`, process.execPath, `--max-old-space-size=${heapMb}`, program, '--settings', file], {
			// eslint-disable-next-line @typescript-eslint/naming-convention
			stdio: ['ignore', 'pipe', 'ignore'], env: {...process.env, FESCUEWICK_LOG: 'info'},
		});
		this.#child = child;
		child.stdout.on('data', (chunk: Uint8Array) => {
			this.#logBytes += chunk.length;
		});
		child.once('exit', (code, signal) => {
			this.#ended = String(signal ?? code);
		});
		this.#sampling = setInterval(() => {
			this.#sample(child.pid!);
		}, sampleIntervalMs);
		await waitUntil('the gateway is ready', async () => await this.#send(Listener.readiness, readinessPath) === '200', 20_000);
		// Loading the modules opens more files at once than serving needs.
		this.#peakDescriptors = 0;
	}

	/** Reads the peak of the resident memory and the number of open descriptors. */
	#sample(pid: number): void {
		try {
			const status = readFileSync(`/proc/${pid}/status`, 'utf8');
			this.#peakMb = Math.max(this.#peakMb, Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) / 1024);
			this.#peakDescriptors = Math.max(this.#peakDescriptors, readdirSync(`/proc/${pid}/fd`).length);
		} catch {
			// The process has ended, which `measurements.ended` reports.
		}
	}

	async #close(): Promise<void> {
		clearInterval(this.#sampling);
		const child = this.#child;
		if (child?.exitCode === null && child.signalCode === null) {
			child.kill('SIGKILL');
			await once(child, 'exit');
		}

		this.#store.close();
		this.#server.close();
		rmSync(this.#directory, {recursive: true, force: true});
	}
}
