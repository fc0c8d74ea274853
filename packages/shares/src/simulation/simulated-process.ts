import {
	FescuewickError, ResultCode, TimerService, type Cancel,
} from '@fescuewick/core';
import {
	MemberState, PeerNetwork, type Member, type PeerMessageHandler, type PeerRequestHandler,
} from '@fescuewick/membership';
import {StoreDecorator, type ObjectStore, type StoreCallKind} from '@fescuewick/store';
import {
	encodeFrame, MessageType, type MessageBodies, type ReplyBodies, type RequestType, type SliceLoansBody,
} from '@fescuewick/wire';

/** Timers of one process on a shared clock; timers that fall due while the process is paused run when it resumes. */
export class ProcessTimerService extends TimerService {
	readonly #base: TimerService;
	#waiting: Array<() => void> = [];
	#paused = false;
	#ended = false;

	constructor(base: TimerService) {
		super();
		this.#base = base;
	}

	get isPaused(): boolean {
		return this.#paused;
	}

	get isEnded(): boolean {
		return this.#ended;
	}

	nowMs(): number {
		return this.#base.nowMs();
	}

	wallClockMs(): number {
		return this.#base.wallClockMs();
	}

	after(delayMs: number, callback: () => void): Cancel {
		let cancelled = false;
		const cancel = this.#base.after(delayMs, () => {
			this.#run(() => {
				if (!cancelled) {
					callback();
				}
			});
		});
		return () => {
			cancelled = true;
			cancel();
		};
	}

	repeat(intervalMs: number, callback: () => void): Cancel {
		let queued = false;
		return this.#base.repeat(intervalMs, () => {
			if (!queued) {
				queued = true;
				this.#run(() => {
					queued = false;
					callback();
				});
			}
		});
	}

	pause(): void {
		this.#paused = true;
	}

	resume(): void {
		this.#paused = false;
		const waiting = this.#waiting;
		this.#waiting = [];
		for (const callback of waiting) {
			this.#run(callback);
		}
	}

	/** Ends the process; no timer of it runs any more. */
	end(): void {
		this.#ended = true;
		this.#waiting = [];
	}

	/** Resolves at once while the process runs, else when it resumes; never after its end. */
	async untilRunning(): Promise<void> {
		if (this.#paused || this.#ended) {
			await new Promise<void>(resolve => {
				this.#waiting.push(resolve);
			});
		}
	}

	#run(callback: () => void): void {
		if (this.#ended) {
			return;
		}

		if (this.#paused) {
			this.#waiting.push(callback);
		} else {
			callback();
		}
	}
}

/** Peer network of a process that can be paused. */
export class ProcessPeerNetwork extends PeerNetwork {
	readonly self;
	readonly incarnation;
	/** Sizes of the frames of requests to other VMs and of their answers. */
	sentBytes = 0;
	receivedBytes = 0;
	/** Number of loans received with a rate above 0. */
	receivedLoans = 0;
	/** Whether all other members are reported as listed instead of alive. */
	seesOnlySelf = false;

	constructor(readonly base: PeerNetwork, readonly timers: ProcessTimerService) {
		super();
		this.self = base.self;
		this.incarnation = base.incarnation;
	}

	members(): readonly Member[] {
		const members = this.base.members();
		return this.seesOnlySelf
			? members.map(member => (member.record.vm === this.self.vm ? member : {...member, state: MemberState.listed, heardAgeMs: undefined}))
			: members;
	}

	async request<Type extends RequestType>(vm: string, type: Type, body: MessageBodies[Type], timeoutMs: number): Promise<ReplyBodies[Type]> {
		const isRemote = vm !== this.self.vm;
		this.sentBytes += isRemote ? encodeFrame(type, 1, body).length : 0;
		try {
			const reply = await this.base.request(vm, type, body, timeoutMs);
			if (type === MessageType.sliceLoan) {
				this.receivedLoans += (reply as SliceLoansBody).loans.filter(({ratePerS}) => ratePerS > 0).length;
			}

			this.receivedBytes += isRemote ? encodeFrame(MessageType.reply, 1, reply).length : 0;
			return reply;
		} finally {
			await this.timers.untilRunning();
		}
	}

	send<Type extends MessageType>(vm: string, type: Type, body: MessageBodies[Type]): void {
		this.base.send(vm, type, body);
	}

	handle<Type extends RequestType>(type: Type, handler: PeerRequestHandler<Type>): void {
		this.base.handle(type, async (body, from) => {
			await this.timers.untilRunning();
			return handler(body, from);
		});
	}

	on<Type extends MessageType>(type: Type, handler: PeerMessageHandler<Type>): void {
		this.base.on(type, handler);
	}

	onChange(listener: () => void): Cancel {
		return this.base.onChange(() => {
			if (!this.timers.isPaused && !this.timers.isEnded) {
				listener();
			}
		});
	}
}

/** Store of a process that can be paused or cut off from the store. */
export class ProcessStore extends StoreDecorator {
	/** Returns whether the process is cut off from the store. */
	isCut: () => boolean = () => false;

	constructor(base: ObjectStore, readonly timers: ProcessTimerService) {
		super(base);
	}

	protected async intercept<Value>(_kind: StoreCallKind, call: () => Promise<Value>): Promise<Value> {
		try {
			if (this.isCut()) {
				throw new FescuewickError(ResultCode.storeUnavailable, 'cut off from the store');
			}

			return await call();
		} finally {
			await this.timers.untilRunning();
		}
	}
}
