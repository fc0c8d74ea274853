import {
	FescuewickError, ResultCode, TimerService, type Cancel,
} from '@fescuewick/core';
import {
	MemberState, PeerNetwork, type Member, type PeerMessageHandler, type PeerRequestHandler,
} from '@fescuewick/membership';
import {StoreCallKind, StoreDecorator, type ObjectStore} from '@fescuewick/store';
import {
	type MessageBodies, type MessageType, type ReplyBodies, type RequestType,
} from '@fescuewick/wire';

/** Pauses and resumes one node of a test: a closed gate simulates a paused process, or a dead one if it is never opened again. */
export class Gate {
	readonly #waiting: Array<() => void> = [];
	#isOpen = true;

	close(): void {
		this.#isOpen = false;
	}

	open(): void {
		this.#isOpen = true;
		for (const resume of this.#waiting.splice(0)) {
			resume();
		}
	}

	run(callback: () => void): void {
		if (this.#isOpen) {
			callback();
		} else {
			this.#waiting.push(callback);
		}
	}

	async waitUntilOpen(): Promise<void> {
		await new Promise<void>(resolve => {
			this.run(resolve);
		});
	}

	/** Settles as the promise does, but only once the gate is open. */
	async settleWhenOpen<Value>(promise: Promise<Value>): Promise<Value> {
		try {
			return await promise;
		} finally {
			await this.waitUntilOpen();
		}
	}
}

/** Timers of a node, whose callbacks wait while it is paused. */
export class GatedTimerService extends TimerService {
	constructor(readonly inner: TimerService, readonly gate: Gate) {
		super();
	}

	nowMs(): number {
		return this.inner.nowMs();
	}

	wallClockMs(): number {
		return this.inner.wallClockMs();
	}

	after(delayMs: number, callback: () => void): Cancel {
		let isCancelled = false;
		const cancel = this.inner.after(delayMs, () => {
			this.gate.run(() => {
				if (!isCancelled) {
					callback();
				}
			});
		});
		return () => {
			isCancelled = true;
			cancel();
		};
	}

	repeat(intervalMs: number, callback: () => void): Cancel {
		return this.inner.repeat(intervalMs, () => {
			this.gate.run(callback);
		});
	}
}

const lateWriteDelayMs = 120;

/** A node's link to the store, with hooks around writes and injectable faults. */
export class GatedStore extends StoreDecorator {
	/** Calls fail because the node cannot reach the store. */
	isCut = false;
	/** Number of next writes that are reported as unanswered and take effect later, as if delayed by the network. */
	lateWrites = 0;
	/** Number of next writes that never reach the store; the writer cannot distinguish that from a lost answer. */
	lostWrites = 0;
	beforeWrite: ((key: string) => Promise<void>) | undefined;
	afterWrite: ((key: string) => Promise<void>) | undefined;

	constructor(inner: ObjectStore, readonly timers: TimerService, readonly gate: Gate) {
		super(inner);
	}

	override async write(key: string, value: unknown, expectedVersion: number | undefined): Promise<number> {
		// Later changes by the caller must not affect the value, as if it were serialized here.
		const sent = structuredClone(value);
		return this.intercept(StoreCallKind.write, async () => {
			await this.beforeWrite?.(key);
			await this.gate.waitUntilOpen();
			if (this.lostWrites > 0) {
				this.lostWrites--;
				throw new FescuewickError(ResultCode.storeOutcomeUnknown, 'no answer from the store');
			}

			if (this.lateWrites > 0) {
				this.lateWrites--;
				await this.#writeLate(key, sent, expectedVersion);
			}

			const version = await this.inner.write(key, sent, expectedVersion);
			await this.afterWrite?.(key);
			return version;
		});
	}

	async #writeLate(key: string, value: unknown, expectedVersion: number | undefined): Promise<never> {
		this.timers.after(lateWriteDelayMs, async () => {
			try {
				await this.inner.write(key, value, expectedVersion);
			} catch {
				// The writer has already received `storeOutcomeUnknown`.
			}
		});
		await this.timers.sleep(lateWriteDelayMs / 4);
		throw new FescuewickError(ResultCode.storeOutcomeUnknown, 'no answer from the store');
	}

	protected async intercept<Value>(_kind: StoreCallKind, call: () => Promise<Value>): Promise<Value> {
		await this.gate.waitUntilOpen();
		if (this.isCut) {
			throw new FescuewickError(ResultCode.storeUnavailable, 'no route to the store');
		}

		return this.gate.settleWhenOpen(call());
	}
}

/** A node's peer network, with a membership view that tests can falsify. */
export class GatedPeerNetwork extends PeerNetwork {
	/** VMs whose state this node misjudges: it sees live ones as dead and all others as alive. */
	readonly misjudged = new Set<string>();
	readonly #listeners = new Set<() => void>();

	constructor(readonly inner: PeerNetwork, readonly timers: TimerService, readonly gate: Gate) {
		super();
	}

	get self(): PeerNetwork['self'] {
		return this.inner.self;
	}

	get incarnation(): PeerNetwork['incarnation'] {
		return this.inner.incarnation;
	}

	members(): readonly Member[] {
		return this.inner.members().map(member => {
			if (!this.misjudged.has(member.record.vm)) {
				return member;
			}

			return {...member, state: member.state === MemberState.alive ? MemberState.dead : MemberState.alive};
		});
	}

	async request<Type extends RequestType>(vm: string, type: Type, body: MessageBodies[Type], timeoutMs: number): Promise<ReplyBodies[Type]> {
		await this.gate.waitUntilOpen();
		// The other node may be paused or dead, so that its handler never returns.
		const timeout = new Promise<never>((_resolve, reject) => {
			this.timers.after(timeoutMs, () => {
				reject(new FescuewickError(ResultCode.requestToPeerTimeout, `no answer from ${vm}`));
			});
		});
		return this.gate.settleWhenOpen(Promise.race([this.inner.request(vm, type, body, timeoutMs), timeout]));
	}

	send<Type extends MessageType>(vm: string, type: Type, body: MessageBodies[Type]): void {
		this.inner.send(vm, type, body);
	}

	handle<Type extends RequestType>(type: Type, handler: PeerRequestHandler<Type>): void {
		this.inner.handle(type, async (body, from) => {
			await this.gate.waitUntilOpen();
			return this.gate.settleWhenOpen(handler(body, from));
		});
	}

	on<Type extends MessageType>(type: Type, handler: PeerMessageHandler<Type>): void {
		this.inner.on(type, handler);
	}

	onChange(listener: () => void): Cancel {
		this.#listeners.add(listener);
		const cancel = this.inner.onChange(() => {
			this.gate.run(listener);
		});
		return () => {
			this.#listeners.delete(listener);
			cancel();
		};
	}

	/** Replaces the set of misjudged VMs and notifies the listeners. */
	setMisjudged(vms: readonly string[]): void {
		this.misjudged.clear();
		for (const vm of vms) {
			this.misjudged.add(vm);
		}

		for (const listener of this.#listeners) {
			this.gate.run(listener);
		}
	}
}
