import {FescuewickError, ManualTimerService, ResultCode} from '@fescuewick/core';
import {headKey, loadConfiguration, type ConfigurationHead} from '@fescuewick/config';
import {MemoryObjectStore} from '@fescuewick/store';
import {vmListKey, type VmRecord} from '@fescuewick/wire';
import {type AdminFetch} from './fleet/admin-fetch.js';
import {runCommandLine} from './program.js';

/** State of a VM in the fake fleet; tests modify it between and during commands. */
export type FakeVm = {
	readonly vm: string;
	reachable: boolean;
	/** Revision that the VM reports; undefined means the revision in the store. */
	revision: number | undefined;
	/** If false, the VM answers revocations with status 503; it keeps those that it accepted before. */
	acceptsRevocations: boolean;
	readonly revoked: Set<string>;
	keys: Array<{id: string; workspace: string; sha256: string}>;
	members: Array<{vm: string; state: string; revision: number}>;
};

/** Exit code and output of one command line. */
export type RunResult = {readonly exitCode: number; readonly out: string; readonly err: string};

/** Test fixture that runs the client with an in-memory store and fake VMs behind an injected fetch function. */
export class FakeFleet {
	readonly timers = new ManualTimerService();
	readonly store = new MemoryObjectStore(this.timers, 200);
	readonly vms: FakeVm[];
	/** Output of all commands so far. */
	readonly outputTexts: string[] = [];
	readonly abort = new AbortController();
	adminUrls: string[] = [];
	#randomCalls = 0;

	constructor(names: readonly string[] = ['vm-1', 'vm-2']) {
		this.vms = names.map(vm => ({
			vm, reachable: true, revision: undefined, acceptsRevocations: true, revoked: new Set(), keys: [], members: [],
		}));
	}

	/** Writes the platform's list of VMs to the store, with `leavingVms` marked as leaving. */
	async writeVmList(leavingVms: readonly string[] = []): Promise<void> {
		const records: VmRecord[] = this.vms.map(({vm}) => ({
			vm, failureDomain: 'addis-a', region: 'addis', controlAddress: '', entryUrl: '', lookupUrl: '', adminUrl: `http://${vm}`, leaving: leavingVms.includes(vm),
		}));
		await this.store.write(vmListKey('addis-a'), records, undefined);
	}

	/** Runs a command line and advances the manual timers until it ends. */
	async run(...args: string[]): Promise<RunResult> {
		const out: string[] = [];
		const errorLines: string[] = [];
		const state = {ended: false};
		const running = (async () => {
			const exitCode = await runCommandLine(['--store', 'http://store', '--author', 'abeba', ...args], {
				openStore: () => ({store: this.store, close: async () => undefined}),
				fetch: this.#fetch,
				output: {
					out: text => out.push(text),
					err: text => errorLines.push(text),
				},
				timers: this.timers,
				randomBytes: count => new Uint8Array(count).fill(++this.#randomCalls),
				userName: 'nobody',
				signal: this.abort.signal,
			});
			state.ended = true;
			return exitCode;
		})();
		for (let round = 0; round < 5000 && !state.ended; round++) {
			await this.timers.advance(20);
		}

		const exitCode = await running;
		this.outputTexts.push(...out, ...errorLines);
		return {exitCode, out: out.join('\n'), err: errorLines.join('\n')};
	}

	/** Reads the head of the configuration in force, with the store's faults disabled for this read. */
	async head(): Promise<ConfigurationHead> {
		const faults = {...this.store.faults};
		Object.assign(this.store.faults, {down: false, silent: false, slowMs: 0});
		const loaded = await loadConfiguration(this.store);
		Object.assign(this.store.faults, faults);
		return loaded!.head;
	}

	readonly #fetch: AdminFetch = async ({method, url, body}) => {
		const {host, pathname} = new URL(url);
		const vm = this.vms.find(entry => entry.vm === host);
		if (!vm?.reachable) {
			throw new FescuewickError(ResultCode.endpointUnreachable, 'connection refused');
		}

		if (method === 'POST') {
			if (!vm.acceptsRevocations) {
				return {status: 503, body: {}};
			}

			for (const hash of (body as {keyHashes: string[]}).keyHashes) {
				vm.revoked.add(hash);
			}

			return {status: 200, body: {known: vm.revoked.size}};
		}

		const lastSegment = pathname.split('/').at(-1) ?? '';
		if (pathname.startsWith('/v1/revocations/')) {
			return {status: 200, body: {known: vm.revoked.has(lastSegment)}};
		}

		if (pathname.startsWith('/v1/keys/')) {
			const key = vm.keys.find(entry => entry.id === lastSegment);
			return key === undefined ? {status: 404, body: {}} : {status: 200, body: key};
		}

		return {status: 200, body: await this.#status(vm)};
	};

	async #status(vm: FakeVm): Promise<unknown> {
		const headObject = this.store.faults.down ? undefined : await this.store.read(headKey);
		return {
			vm: vm.vm, failureDomain: 'addis-a', region: 'addis', incarnation: vm.vm, revision: vm.revision ?? (headObject?.value as ConfigurationHead | undefined)?.revision ?? 0,
			freshnessAgeMs: 10, storeReachable: true, keysAgeMs: 10, revokedKeyHashes: vm.revoked.size, members: vm.members, ready: true, draining: false,
		};
	}
}
