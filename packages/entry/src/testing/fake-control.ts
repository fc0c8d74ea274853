import {
	createIncarnation, FescuewickError, ResultCode, type Cancel, type TimerService,
} from '@fescuewick/core';
import {MemoryClaimService, type ClaimService} from '@fescuewick/orders';
import {StaticShareService, type ShareService} from '@fescuewick/shares';
import {
	MessageType, Role, fullSnapshotPages, TcpTransport, type DrainStateBody, type Link, type Listener, type LoadReportBody, type MessageBodies, type RequestHandler,
	type ShareReturnBody, type SnapshotBody,
} from '@fescuewick/wire';

/** Control daemon for tests with a given snapshot, static shares and claims in memory. */
export class FakeControl {
	shares: ShareService;
	claims: ClaimService = new MemoryClaimService();
	readonly returned: ShareReturnBody[] = [];
	readonly drainStates: DrainStateBody[] = [];
	readonly loadReports: LoadReportBody[] = [];
	/** Number of replies still to drop per request type; the requests take effect nevertheless. */
	readonly repliesToDrop = new Map<MessageType, number>();
	readonly requests = new Map<MessageType, number>();
	address = '';
	#listener: Listener | undefined;
	#cancelFresh: Cancel | undefined;
	readonly #links = new Set<Link>();

	/** `snapshot` is sent to each new subscriber, and to all of them by `push`. */
	constructor(private readonly timers: TimerService, public snapshot: SnapshotBody) {
		this.shares = new StaticShareService(() => ({
			fleetVms: 1,
			domainVms: 1,
			rateOf: name => this.#workspaces().find(workspace => workspace.name === name),
			slotsOf: server => this.snapshot.backends?.find(record => record.server === server),
		}));
	}

	async start(port = 0): Promise<void> {
		this.#listener = await new TcpTransport().listen(`127.0.0.1:${port}`, () => ({
			timers: this.timers,
			hello: {role: Role.control, location: {vm: 'vm-1', failureDomain: 'a', region: 'r'}, incarnation: createIncarnation('vm-1', this.timers)},
			heartbeat: () => ({revision: this.snapshot.revision, freshnessAgeMs: this.snapshot.keysAgeMs, storeReachable: true}),
			onMessage: (type, body) => {
				this.#onMessage(type, body);
			},
			onRequest: (async (type: MessageType, body: unknown, link: Link) => this.#onRequest(type, body, link)) as RequestHandler,
			onOpen: (_peer, link) => {
				this.#links.add(link);
			},
			onClose: (_reason, link) => {
				this.#links.delete(link);
			},
		}));
		this.address = this.#listener.address;
	}

	/** Applies `change` to the snapshot and sends it to all subscribers. */
	push(change: Partial<SnapshotBody> = {}): void {
		this.snapshot = {...this.snapshot, ...change};
		for (const link of this.#links) {
			this.#sendSnapshot(link);
		}
	}

	/** Sends the snapshot every second, like a control daemon that can reach the store. */
	pushPeriodically(): void {
		this.#cancelFresh ??= this.timers.repeat(1000, () => {
			this.push();
		});
	}

	/** Stops listening and closes all links, like a killed process. */
	async stop(): Promise<void> {
		this.#cancelFresh?.();
		await this.#listener?.close();
		for (const link of this.#links) {
			link.close();
		}
	}

	#sendSnapshot(link: Link): void {
		for (const page of fullSnapshotPages(this.snapshot)) {
			link.send(MessageType.snapshotDelta, page);
		}
	}

	#workspaces(): ReadonlyArray<{name: string; ratePerS: number; burst: number}> {
		return (this.snapshot.configuration as {workspaces: Array<{name: string; ratePerS: number; burst: number}>}).workspaces;
	}

	#onMessage(type: MessageType, body: unknown): void {
		if (type === MessageType.drainState) {
			this.drainStates.push(body as DrainStateBody);
		} else if (type === MessageType.loadReport) {
			this.loadReports.push(body as LoadReportBody);
		}
	}

	async #onRequest(type: MessageType, body: unknown, link: Link): Promise<unknown> {
		this.requests.set(type, (this.requests.get(type) ?? 0) + 1);
		const reply = await this.#answer(type, body, link);
		const toDrop = this.repliesToDrop.get(type) ?? 0;
		if (toDrop > 0) {
			this.repliesToDrop.set(type, toDrop - 1);
			// The reply is lost: the request has taken effect, but the sender times out.
			await new Promise(() => {/* Never settles. */});
		}

		return reply;
	}

	async #answer(type: MessageType, body: unknown, link: Link): Promise<unknown> {
		switch (type) {
			case MessageType.subscribe: {
				this.#sendSnapshot(link);
				return {controlIncarnation: 'fake'};
			}

			case MessageType.shareRequest: {
				return this.shares.request(body as MessageBodies[MessageType.shareRequest]);
			}

			case MessageType.shareReturn: {
				this.returned.push(body as ShareReturnBody);
				return {accepted: true};
			}

			case MessageType.claimRequest: {
				return this.claims.claim(body as MessageBodies[MessageType.claimRequest]);
			}

			case MessageType.claimComplete: {
				await this.claims.complete(body as MessageBodies[MessageType.claimComplete]);
				return {accepted: true};
			}

			case MessageType.claimRelease: {
				await this.claims.release(body as MessageBodies[MessageType.claimRelease]);
				return {accepted: true};
			}

			default: {
				throw new FescuewickError(ResultCode.messageUnknown, `fake control daemon does not answer type ${type}`);
			}
		}
	}
}
