import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {type TimerService} from '@fescuewick/core';
import {readinessPath} from '@fescuewick/platform/stand-ins';
import {stringify} from 'yaml';
import {type TimeSpan} from './observations.js';
import {bounds} from './guarantees.js';

const program = fileURLToPath(new URL('../../../platform/dist/main.js', import.meta.url));

/** Location, addresses and file directory of a VM of the soak. */
export type VmProcessOptions = {
	readonly vm: string;
	readonly failureDomain: string;
	readonly region: string;
	readonly regions: Readonly<Record<string, string>>;
	/** Entry, readiness, directory, peer, heartbeat and metrics addresses. */
	readonly addresses: readonly string[];
	readonly seeds: readonly string[];
	readonly storeAddress: string;
	/** Directory for settings and logs. */
	readonly directory: string;
};

/** The real gateway program in a separate process. */
export class VmProcess {
	readonly faultSpans: TimeSpan[] = [];
	readonly haltedSpans: TimeSpan[] = [];
	/** Unexpected exits, and stops that failed or took too long. */
	readonly problems: string[] = [];
	#child: ChildProcess | undefined;
	#isEnding = false;

	constructor(readonly options: VmProcessOptions, private readonly timers: TimerService) {
		const {vm, failureDomain, region, regions, addresses, seeds, storeAddress} = options;
		const [entry, readiness, directory, peers, heartbeats, metrics] = addresses;
		writeFileSync(this.#settingsFile, stringify({
			location: {vm, failureDomain, region},
			regions,
			listen: {
				entry, readiness, directory, peers, heartbeats, metrics,
			},
			seeds: [...seeds],
			store: {address: storeAddress},
			bounds: {
				graceMs: bounds.graceMs, maxDirectoryTtlMs: 5000, retryRatio: 0.2, retrySlack: 50, retryWindowMs: 10_000, coldOvershoot: 1.5, coldSlack: 5, rateOvershoot: bounds.rateOvershoot, rateSlack: bounds.rateSlackCount, rateWindowMs: bounds.rateWindowMs, shiftMost: 0.15,
			},
		}));
	}

	get name(): string {
		return this.options.vm;
	}

	/** Whether the process runs and is not being killed or stopped. */
	get isUp(): boolean {
		return this.#child !== undefined && !this.#isEnding;
	}

	start(): void {
		const log = openSync(path.join(this.options.directory, `${this.name}.log`), 'a');
		// eslint-disable-next-line @typescript-eslint/naming-convention
		const environment = {...process.env, FESCUEWICK_LOG: 'info'};
		const child = spawn(process.execPath, [program, '--settings', this.#settingsFile], {stdio: ['ignore', log, log], env: environment});
		closeSync(log);
		this.#child = child;
		this.#isEnding = false;
		child.once('exit', (code, signal) => {
			if (!this.#isEnding) {
				this.problems.push(`${this.name} exited unexpectedly with ${signal ?? code}`);
			}

			if (this.#child === child) {
				this.#child = undefined;
			}
		});
	}

	/** Kills the process and starts it again after `downMs`. */
	async kill(downMs: number): Promise<void> {
		await this.#restart(downMs, async child => {
			child.kill('SIGKILL');
			await once(child, 'exit');
		});
	}

	/** Stops the process with SIGTERM and starts it again after `downMs`. */
	async stop(downMs: number): Promise<void> {
		await this.#restart(downMs, async child => this.#stopGracefully(child), true);
	}

	async pause(durationMs: number): Promise<void> {
		const child = this.#child;
		if (child === undefined || this.#isEnding) {
			return;
		}

		const fromMs = this.timers.nowMs();
		child.kill('SIGSTOP');
		await this.timers.sleep(durationMs);
		child.kill('SIGCONT');
		const span = {fromMs, untilMs: this.timers.nowMs()};
		this.haltedSpans.push(span);
		this.faultSpans.push(span);
	}

	/** Whether the VM's readiness endpoint answers with 200. */
	async isReady(): Promise<boolean> {
		try {
			const {status} = await fetch(`http://${this.options.addresses[1]}${readinessPath}`, {signal: AbortSignal.timeout(1000)});
			return status === 200;
		} catch {
			// Nothing listens there yet.
			return false;
		}
	}

	/** Ends the process at the end of a run. */
	async end(): Promise<void> {
		const child = this.#child;
		if (child !== undefined) {
			this.#isEnding = true;
			child.kill('SIGCONT');
			await this.#stopGracefully(child);
		}
	}

	get #settingsFile(): string {
		return path.join(this.options.directory, `${this.options.vm}.yaml`);
	}

	async #restart(downMs: number, stopChild: (child: ChildProcess) => Promise<void>, isGraceful = false): Promise<void> {
		const child = this.#child;
		if (child === undefined || this.#isEnding) {
			return;
		}

		this.#isEnding = true;
		const fromMs = this.timers.nowMs();
		await stopChild(child);
		const endedAtMs = this.timers.nowMs();
		await this.timers.sleep(downMs);
		this.start();
		for (let isReady = false; !isReady && this.isUp; isReady = await this.isReady()) {
			await this.timers.sleep(50);
		}

		const untilMs = this.timers.nowMs();
		this.faultSpans.push({fromMs, untilMs});
		this.haltedSpans.push({fromMs: isGraceful ? endedAtMs : fromMs, untilMs});
	}

	async #stopGracefully(child: ChildProcess): Promise<void> {
		const fromMs = this.timers.nowMs();
		const exited = once(child, 'exit') as Promise<[number | null, string | null]>;
		child.kill('SIGTERM');
		const [code, signal] = await exited;
		const tookMs = this.timers.nowMs() - fromMs;
		if (code !== 0 || tookMs > bounds.graceMs) {
			this.problems.push(`${this.name} ended with ${signal ?? code} ${Math.round(tookMs)} ms after SIGTERM; expected exit code 0 within ${bounds.graceMs} ms`);
		}
	}
}
