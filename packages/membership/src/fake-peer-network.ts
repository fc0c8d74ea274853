import {
	FescuewickError, ResultCode, type Cancel, type Incarnation, type TimerService,
} from '@fescuewick/core';
import {
	type MessageBodies, type MessageType, type ReplyBodies, type RequestType, type VmRecord,
} from '@fescuewick/wire';
import {
	MemberState, PeerNetwork, type Member, type PeerMessageHandler, type PeerRequestHandler,
} from './peer-network.js';

/** Connects the `FakePeerNetwork`s of a test and simulates partitions, stopped nodes, delays, lost answers, and repeated requests. */
export class FakePeerHub {
	readonly nodes = new Map<string, FakePeerNetwork>();
	readonly #cutPaths = new Set<string>();
	readonly deadVms = new Set<string>();
	/** One-way delay of each message. */
	delayMs = 1;
	/** Number of subsequent requests that are handled but whose answers are lost. */
	loseAnswers = 0;
	/** Number of subsequent requests that are delivered a second time after `repeatAfterMs`. */
	repeatRequests = 0;
	repeatAfterMs = 1500;
	messagesSent = 0;

	constructor(readonly timers: TimerService) {}

	add(record: VmRecord, incarnation: Incarnation): FakePeerNetwork {
		const node = new FakePeerNetwork(this, record, incarnation);
		this.nodes.set(record.vm, node);
		this.deadVms.delete(record.vm);
		this.notifyAll();
		return node;
	}

	/** Partitions two VMs, or all VMs of two failure domains, from each other. */
	cut(first: string, second: string): void {
		this.#cutPaths.add(`${first}|${second}`);
		this.#cutPaths.add(`${second}|${first}`);
		this.notifyAll();
	}

	heal(): void {
		this.#cutPaths.clear();
		this.notifyAll();
	}

	kill(vm: string): void {
		this.deadVms.add(vm);
		this.notifyAll();
	}

	canReach(from: VmRecord, to: VmRecord): boolean {
		return !this.deadVms.has(from.vm) && !this.deadVms.has(to.vm) && !this.#cutPaths.has(`${from.vm}|${to.vm}`) && !this.#cutPaths.has(`${from.failureDomain}|${to.failureDomain}`);
	}

	notifyAll(): void {
		for (const node of this.nodes.values()) {
			node.notify();
		}
	}
}

/** One node of a `FakePeerHub`. */
export class FakePeerNetwork extends PeerNetwork {
	readonly #requestHandlers = new Map<MessageType, PeerRequestHandler<RequestType>>();
	readonly #messageHandlers = new Map<MessageType, Array<PeerMessageHandler<MessageType>>>();
	readonly #listeners = new Set<() => void>();

	constructor(readonly hub: FakePeerHub, readonly self: VmRecord, readonly incarnation: Incarnation) {
		super();
	}

	members(): readonly Member[] {
		return [...this.hub.nodes.values()].map(node => ({
			record: node.self,
			state: this.hub.canReach(this.self, node.self) ? MemberState.alive : MemberState.dead,
			incarnation: node.incarnation,
			heardAgeMs: 0,
		}));
	}

	async request<Type extends RequestType>(vm: string, type: Type, body: MessageBodies[Type], timeoutMs: number): Promise<ReplyBodies[Type]> {
		const {hub} = this;
		const target = hub.nodes.get(vm);
		hub.messagesSent++;
		if (vm !== this.self.vm) {
			await hub.timers.sleep(hub.delayMs);
		}

		const handler = target?.handlerOf(type);
		if (target === undefined || handler === undefined || !hub.canReach(this.self, target.self)) {
			await hub.timers.sleep(timeoutMs);
			throw new FescuewickError(ResultCode.requestToPeerTimeout, `no answer from ${vm} within ${timeoutMs} ms`);
		}

		if (hub.repeatRequests > 0 && vm !== this.self.vm) {
			hub.repeatRequests--;
			const repeated = structuredClone(body);
			hub.timers.after(hub.repeatAfterMs, () => {
				if (hub.canReach(this.self, target.self)) {
					void handler(repeated, {vm: this.self.vm, incarnation: this.incarnation});
				}
			});
		}

		const reply = await handler(structuredClone(body), {vm: this.self.vm, incarnation: this.incarnation});
		if (vm !== this.self.vm) {
			await hub.timers.sleep(hub.delayMs);
		}

		if (hub.loseAnswers > 0 || !hub.canReach(this.self, target.self)) {
			hub.loseAnswers = Math.max(0, hub.loseAnswers - 1);
			await hub.timers.sleep(timeoutMs);
			throw new FescuewickError(ResultCode.requestToPeerTimeout, `no answer from ${vm} within ${timeoutMs} ms: the answer was lost`);
		}

		return structuredClone(reply) as ReplyBodies[Type];
	}

	send<Type extends MessageType>(vm: string, type: Type, body: MessageBodies[Type]): void {
		const {hub} = this;
		hub.messagesSent++;
		hub.timers.after(hub.delayMs, () => {
			const target = hub.nodes.get(vm);
			if (target !== undefined && hub.canReach(this.self, target.self)) {
				target.deliver(type, structuredClone(body), this);
			}
		});
	}

	handle<Type extends RequestType>(type: Type, handler: PeerRequestHandler<Type>): void {
		this.#requestHandlers.set(type, handler as unknown as PeerRequestHandler<RequestType>);
	}

	on<Type extends MessageType>(type: Type, handler: PeerMessageHandler<Type>): void {
		const handlers = this.#messageHandlers.get(type) ?? [];
		handlers.push(handler as unknown as PeerMessageHandler<MessageType>);
		this.#messageHandlers.set(type, handlers);
	}

	onChange(listener: () => void): Cancel {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	notify(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}

	handlerOf(type: RequestType): PeerRequestHandler<RequestType> | undefined {
		return this.#requestHandlers.get(type);
	}

	deliver(type: MessageType, body: unknown, from: FakePeerNetwork): void {
		for (const handler of this.#messageHandlers.get(type) ?? []) {
			handler(body, {vm: from.self.vm, incarnation: from.incarnation});
		}
	}
}
