import {
	FescuewickError, ResultCode, type Cancel, type Incarnation, type Logger, type TimerService,
} from '@fescuewick/core';
import {
	type HeartbeatBody, type Listener, type MessageBodies, type MessageType, type ReplyBodies, type RequestType, type Transport, type VmRecord,
} from '@fescuewick/wire';
import {LinkEventHandler, type LocalLinkHandlers} from './link-event-handler.js';
import {MemberTable} from './member-table.js';
import {MessageHandlers} from './message-handlers.js';
import {PeerLinks} from './peer-links.js';
import {
	MemberState, PeerNetwork, type Member, type PeerMessageHandler, type PeerRequestHandler,
} from './peer-network.js';
import {type Random} from './random.js';
import {SeedConnector} from './seed-connector.js';
import {persistentPeers} from './topology.js';
import {ViewExchange} from './view-exchange.js';

const tickIntervalMs = 250;
/** If a tick is late by more than this, the process was paused; states of peers are then not evaluated for `pauseGraceMs`, so that messages that arrived meanwhile are handled first. */
const pauseThresholdMs = 1000;
const pauseGraceMs = 1500;

export type PeerMeshOptions = {
	readonly self: VmRecord;
	readonly incarnation: Incarnation;
	readonly timers: TimerService;
	readonly transport: Transport;
	readonly logger: Logger;
	/** Control addresses through which the other members are discovered. */
	readonly seeds: readonly string[];
	/** Address at which links are accepted; port 0 selects a free one, which becomes the record's `controlAddress`. */
	readonly listenAddress: string;
	readonly random: Random;
	readonly localLinks?: LocalLinkHandlers;
};

/** The other control daemons, connected by links that are monitored with heartbeats. */
export class PeerMesh extends PeerNetwork {
	readonly incarnation: Incarnation;
	readonly #options: PeerMeshOptions;
	readonly #table: MemberTable;
	readonly #handlers: MessageHandlers;
	readonly #links: PeerLinks;
	readonly #seeds: SeedConnector;
	readonly #listeners = new Set<() => void>();
	readonly #viewExchange: ViewExchange;
	readonly #linkEvents: LinkEventHandler;
	#self: VmRecord;
	#isListedLeaving = false;
	#announcesLeaving = false;
	#selfRecordSequence = 1;
	#heartbeat: () => HeartbeatBody = () => ({revision: 0, freshnessAgeMs: undefined, storeReachable: false});
	#listener: Listener | undefined;
	#cancelTimers: Cancel[] = [];
	#isTopologyOutdated = true;
	#lastTickAtMs: number;
	#evaluateFromMs = Number.NEGATIVE_INFINITY;
	#stopped = false;

	constructor(options: PeerMeshOptions) {
		super();
		this.#options = options;
		this.#self = options.self;
		this.incarnation = options.incarnation;
		this.#lastTickAtMs = options.timers.nowMs();
		this.#handlers = new MessageHandlers(options.logger);
		this.#table = new MemberTable(options.self.vm, options.timers, vm => {
			this.#memberChanged(vm);
		});
		this.#links = new PeerLinks({
			selfVm: options.self.vm,
			timers: options.timers,
			random: options.random,
			connect: vm => {
				const address = this.#table.record(vm)?.controlAddress ?? '';
				return address === '' || this.#stopped ? undefined : this.#linkEvents.connect(address);
			},
		});
		this.#viewExchange = new ViewExchange({
			table: this.#table,
			timers: options.timers,
			random: options.random,
			incarnation: options.incarnation,
			self: () => this.#self,
			selfRecordSequence: () => this.#selfRecordSequence,
			links: () => this.#links.open(),
			onChangesSent: () => {
				this.#changesSent();
			},
		});
		this.#seeds = new SeedConnector(options.seeds, {
			timers: options.timers,
			random: options.random,
			connect: address => this.#linkEvents.connect(address),
			isKnown: address => address === this.#self.controlAddress || this.#table.hasAddress(address),
		});
		const {timers, transport, logger, incarnation, localLinks} = options;
		this.#linkEvents = new LinkEventHandler({
			timers,
			transport,
			logger,
			incarnation,
			localLinks,
			table: this.#table,
			links: this.#links,
			seeds: this.#seeds,
			viewExchange: this.#viewExchange,
			handlers: this.#handlers,
			self: () => this.#self,
			heartbeat: () => this.#heartbeat(),
			isStopped: () => this.#stopped,
		});
	}

	get self(): VmRecord {
		return this.#self;
	}

	/** Number of peers with an open link. */
	get linkCount(): number {
		return this.#links.open().length;
	}

	/** Starts accepting links and connecting to peers; resolves with the address in use. */
	async start(): Promise<string> {
		this.#listener = await this.#options.transport.listen(this.#options.listenAddress, () => this.#linkEvents.linkOptions(false));
		if (this.#options.listenAddress.endsWith(':0')) {
			this.#self = {...this.#self, controlAddress: this.#listener.address};
		}

		this.#cancelTimers = [this.#options.timers.repeat(tickIntervalMs, () => {
			this.#tick();
		})];
		this.#ensureLinks();
		return this.#listener.address;
	}

	/** Sends a goodbye to all peers and closes the links. */
	async stop(): Promise<void> {
		this.#stopped = true;
		for (const cancel of this.#cancelTimers) {
			cancel();
		}

		this.#viewExchange.stop();
		this.#seeds.stop();
		this.#links.stop();
		await this.#listener?.close();
	}

	/** Sets the function that returns the body of each heartbeat. */
	setHeartbeatSource(source: () => HeartbeatBody): void {
		this.#heartbeat = source;
	}

	/** Applies the platform's list of VMs. */
	applyPlatformList(records: readonly VmRecord[]): void {
		this.#isListedLeaving = records.find(record => record.vm === this.#self.vm)?.leaving ?? this.#isListedLeaving;
		this.#updateLeaving();
		this.#table.applyPlatformList(records);
		this.#ensureLinks();
	}

	/** Sets whether this VM announces that it accepts no new callers, independently of the platform's list. */
	setLeaving(leaving: boolean): void {
		this.#announcesLeaving = leaving;
		this.#updateLeaving();
	}

	members(): readonly Member[] {
		return [this.#selfMember(), ...this.#table.members()];
	}

	/** Looks the member up without building the list of all members, because this is called for each message received. */
	override member(vm: string): Member | undefined {
		return vm === this.#self.vm ? this.#selfMember() : this.#table.member(vm);
	}

	async request<Type extends RequestType>(vm: string, type: Type, body: MessageBodies[Type], timeoutMs: number): Promise<ReplyBodies[Type]> {
		if (vm === this.#self.vm) {
			return this.#handlers.answer(type, body, this.#sender());
		}

		if (this.#stopped || this.#table.record(vm) === undefined) {
			throw new FescuewickError(ResultCode.peerClosed, `${vm} is not a known member`);
		}

		const startedAtMs = this.#options.timers.nowMs();
		const connection = this.#links.getOrCreate(vm);
		connection.touch();
		const link = connection.link ?? await connection.open(timeoutMs);
		return link.request(type, body, Math.max(1, timeoutMs - (this.#options.timers.nowMs() - startedAtMs)));
	}

	send<Type extends MessageType>(vm: string, type: Type, body: MessageBodies[Type]): void {
		const connection = this.#links.get(vm);
		connection?.touch();
		connection?.link?.send(type, body);
	}

	/** Sends a one-way message over every open link. */
	sendAll<Type extends MessageType>(type: Type, body: MessageBodies[Type]): void {
		for (const link of this.#links.open()) {
			link.send(type, body);
		}
	}

	handle<Type extends RequestType>(type: Type, handler: PeerRequestHandler<Type>): void {
		this.#handlers.handle(type, handler);
	}

	on<Type extends MessageType>(type: Type, handler: PeerMessageHandler<Type>): void {
		this.#handlers.on(type, handler);
	}

	onChange(listener: () => void): Cancel {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	#selfMember(): Member {
		return {
			record: this.#self, state: MemberState.alive, incarnation: this.incarnation, heardAgeMs: 0,
		};
	}

	#sender(): {vm: string; incarnation: Incarnation} {
		return {vm: this.#self.vm, incarnation: this.incarnation};
	}

	#updateLeaving(): void {
		const leaving = this.#isListedLeaving || this.#announcesLeaving;
		if (leaving !== this.#self.leaving) {
			this.#self = {...this.#self, leaving};
			this.#selfRecordSequence++;
			this.#memberChanged(this.#self.vm);
		}
	}

	#memberChanged(vm: string): void {
		this.#isTopologyOutdated = true;
		this.#viewExchange.memberChanged(vm);
	}

	#changesSent(): void {
		this.#ensureLinks();
		for (const listener of this.#listeners) {
			listener();
		}
	}

	#tick(): void {
		const nowMs = this.#options.timers.nowMs();
		if (nowMs - this.#lastTickAtMs - tickIntervalMs > pauseThresholdMs) {
			this.#evaluateFromMs = nowMs + pauseGraceMs;
		}

		this.#lastTickAtMs = nowMs;
		if (nowMs >= this.#evaluateFromMs) {
			this.#table.evaluate();
		}

		this.#viewExchange.tick();
		this.#ensureLinks();
		for (const vm of this.#links.closeIdle()) {
			this.#table.unmonitor(vm);
		}
	}

	#ensureLinks(): void {
		if (this.#stopped || this.#listener === undefined) {
			return;
		}

		if (this.#isTopologyOutdated) {
			this.#isTopologyOutdated = false;
			this.#links.setPersistent(persistentPeers(this.#self, [...this.#table.members()]));
		}

		this.#links.connectPersistent();
		this.#seeds.connectUnknown();
	}
}
