import {
	createSilentLogger, FescuewickError, PauseDetector, ResultCode, type TimerService,
} from '@fescuewick/core';
import {FakePeerHub} from '@fescuewick/membership';
import {MemoryObjectStore} from '@fescuewick/store';
import {
	encodeFrame, MessageType, type ShareGrantsBody, type ShareRequestBody, type ShareReturnBody,
} from '@fescuewick/wire';
import {ShareHolder} from '../holder/share-holder.js';
import {LeasedShareService} from '../leased-share-service.js';
import {type ShareService} from '../share-service.js';
import {type ServerCapacity, type ShareSettings} from '../settings.js';
import {ProcessPeerNetwork, ProcessStore, ProcessTimerService} from './simulated-process.js';
import {WindowCheck} from './window-check.js';

/** Share settings with a known list of backend servers. */
export type FleetSettings = ShareSettings & {readonly servers: ReadonlyMap<string, ServerCapacity>};

/** An entry VM of a simulated fleet. */
export type FleetVm = {
	readonly vm: string;
	readonly domain: string;
	/** Replaced, like `service` and `leased`, when the control daemon restarts. */
	control: ProcessTimerService;
	service: ShareService;
	leased: LeasedShareService | undefined;
	readonly entry: ProcessTimerService;
	readonly holder: ShareHolder;
};

type ControlState = Pick<FleetVm, 'control' | 'service' | 'leased'>;

/** Sizes and variants of a simulated fleet. */
export type FleetOptions = {
	readonly timers: TimerService;
	/** Number of VMs by failure domain. */
	readonly domains: Readonly<Record<string, number>>;
	settings: FleetSettings;
	/** Replaces the leased service, for comparison. */
	readonly createService?: (fleet: Fleet) => ShareService;
	/** Overrides the time for which lenders debit loans, for tests that expect a violation. */
	readonly loanDebitMs?: number;
	/** Changes the answers to holders, for tests that expect a violation. */
	readonly transformAnswer?: (body: ShareGrantsBody) => ShareGrantsBody;
};

const callTimeoutMs = 900;

/** Simulated fleet of VMs on one controlled clock, with fault injection; for tests and measurements. */
export class Fleet {
	readonly hub: FakePeerHub;
	readonly store: MemoryObjectStore;
	readonly vms = new Map<string, FleetVm>();
	readonly checks = new Map<string, WindowCheck>();
	readonly cutDomains = new Set<string>();
	settings: FleetSettings;
	/** Number of subsequent answers to entry daemons that are lost. */
	loseAnswers = 0;
	/** Bytes of share messages between entry and control daemons so far. */
	messageBytes = 0;
	readonly #peers = new Map<string, ProcessPeerNetwork>();
	#starts = 0;

	constructor(readonly options: FleetOptions) {
		this.settings = options.settings;
		this.hub = new FakePeerHub(options.timers);
		this.store = new MemoryObjectStore(options.timers);
		for (const [workspace, {ratePerS, burst}] of options.settings.rates) {
			this.checks.set(workspace, new WindowCheck(ratePerS, burst));
		}

		for (const [domain, count] of Object.entries(options.domains)) {
			for (let index = 0; index < count; index++) {
				this.add(`${domain}-${index}`, domain);
			}
		}
	}

	/** Adds a VM, or replaces one of the same name by a new incarnation. */
	add(vm: string, domain: string): FleetVm {
		this.kill(vm);
		const entry = new ProcessTimerService(this.options.timers);
		const controlState = this.#startControl(vm, domain);
		const holder: ShareHolder = new ShareHolder({
			onSlotsLost(server) {
				while (holder.slotsInUse(server) > 0) {
					holder.releaseSlot(server);
				}
			},
			holder: `entry.${vm}.${this.#starts}`, timers: entry, pauses: new PauseDetector(entry), source: this.#createSource(() => node, entry),
		});
		holder.track(this.settings.rates.keys(), this.settings.servers.keys());
		const node: FleetVm = {
			vm, domain, entry, holder, ...controlState,
		};
		this.vms.set(vm, node);
		controlState.leased?.start();
		holder.start();
		return node;
	}

	/** Kills the control daemon of a VM; a new one starts after `downMs` and gets the list of servers `listDelayMs` later. */
	restartControl(node: FleetVm, downMs: number, listDelayMs = 300): void {
		node.control.end();
		this.hub.kill(node.vm);
		this.options.timers.after(downMs, () => {
			if (this.vms.get(node.vm) === node && node.control.isEnded) {
				Object.assign(node, this.#startControl(node.vm, node.domain, this.options.timers.nowMs() + listDelayMs));
				node.leased?.start();
			}
		});
	}

	#startControl(vm: string, domain: string, listFromMs = 0): ControlState {
		const {timers} = this.options;
		const control = new ProcessTimerService(timers);
		const incarnation = {vm, startedAtMs: timers.wallClockMs(), nonce: String(++this.#starts)};
		const record = {
			vm, failureDomain: domain, region: domain, controlAddress: '', entryUrl: '', lookupUrl: '', adminUrl: '', leaving: false,
		};
		const peers = new ProcessPeerNetwork(this.hub.add(record, incarnation), control);
		this.#peers.set(vm, peers);
		const store = new ProcessStore(this.store, control);
		store.isCut = () => this.cutDomains.has(domain);
		const settings = () => timers.nowMs() < listFromMs ? {...this.settings, servers: undefined} : this.settings;
		const leased = this.options.createService === undefined
			? new LeasedShareService({
				peers, store, timers: control, pauses: new PauseDetector(control), settings, logger: createSilentLogger(), loanDebitMs: this.options.loanDebitMs,
			})
			: undefined;
		return {control, leased, service: leased ?? this.options.createService!(this)};
	}

	/** Kills a VM without a planned stop; does nothing if it is not running. */
	kill(vm: string): void {
		const node = this.vms.get(vm);
		if (node !== undefined) {
			node.control.end();
			node.entry.end();
			this.hub.kill(vm);
			this.vms.delete(vm);
		}
	}

	/** Takes tokens at a VM as its entry daemon would; returns whether they were granted. */
	take(vm: string, workspace: string, count = 1): boolean {
		const node = this.vms.get(vm);
		if (node === undefined || node.entry.isPaused || node.holder.take(workspace, count) !== 0) {
			return false;
		}

		this.checks.get(workspace)!.add(this.options.timers.nowMs(), count);
		return true;
	}

	/** Number of loans that failure domains have received so far. */
	get receivedLoans(): number {
		let loans = 0;
		for (const peers of this.#peers.values()) {
			loans += peers.receivedLoans;
		}

		return loans;
	}

	/** Bytes of share messages between control daemons so far. */
	get peerBytes(): number {
		let bytes = 0;
		for (const {sentBytes, receivedBytes} of this.#peers.values()) {
			bytes += sentBytes + receivedBytes;
		}

		return bytes;
	}

	/** Makes a VM see no live VM but itself for `durationMs`, as with an outdated list of members; the others still see it. */
	hidePeers(vm: string, durationMs: number): void {
		const peers = this.#peers.get(vm);
		if (peers !== undefined) {
			peers.seesOnlySelf = true;
			this.hub.notifyAll();
			this.options.timers.after(durationMs, () => {
				peers.seesOnlySelf = false;
				this.hub.notifyAll();
			});
		}
	}

	/** Ends all requests in flight of an entry process. */
	endRequests(node: FleetVm): void {
		for (const server of this.settings.servers.keys()) {
			while (node.holder.slotsInUse(server) > 0) {
				node.holder.releaseSlot(server);
			}
		}
	}

	/** Slots of a server that entry daemons hold or use. */
	slotsHeld(server: string, domain: string): number {
		let held = 0;
		for (const node of this.vms.values()) {
			if (node.domain !== domain) {
				continue;
			}

			if (node.entry.isPaused) {
				// In-flight requests of a paused entry daemon are counted until its grant expires.
				held += this.options.timers.nowMs() < node.holder.slotsExpireAtMs(server) ? node.holder.slotsInUse(server) : 0;
			} else {
				const {slots, slotsInUse} = node.holder.slotsOf(server);
				held += Math.max(slots, slotsInUse);
			}
		}

		return held;
	}

	#createSource(node: () => FleetVm, entry: ProcessTimerService) {
		return {
			request: async (body: ShareRequestBody) => {
				this.messageBytes += encodeFrame(MessageType.shareRequest, 1, body).length;
				const answer = await this.#call(node().control, entry, async () => node().service.request(structuredClone(body)));
				this.messageBytes += encodeFrame(MessageType.reply, 1, answer).length;
				return this.options.transformAnswer?.(answer) ?? answer;
			},
			returnShares: async (body: ShareReturnBody) => this.#call(node().control, entry, async () => node().service.returnShares(body)),
		};
	}

	/** Calls the control daemon over loopback; rejects if it does not answer within `callTimeoutMs`. */
	async #call<Result>(control: ProcessTimerService, entry: ProcessTimerService, run: () => Promise<Result>): Promise<Result> {
		const {timers} = this.options;
		let timedOut = false;
		const expire = async (): Promise<never> => {
			await timers.sleep(callTimeoutMs);
			timedOut = true;
			throw new FescuewickError(ResultCode.requestToPeerTimeout, 'no answer from the control daemon');
		};

		const answer = async (): Promise<Result> => {
			await control.untilRunning();
			const result = await run();
			if (this.loseAnswers > 0 && !timedOut) {
				this.loseAnswers--;
				await timers.sleep(callTimeoutMs * 2);
			}

			return result;
		};

		try {
			return await Promise.race([answer(), expire()]);
		} finally {
			await entry.untilRunning();
		}
	}
}
