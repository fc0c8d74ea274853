import {
	createSilentLogger, incarnationId, ManualTimerService, type Cancel, type Incarnation,
} from '@fescuewick/core';
import {
	FakePeerHub, MemberState, PeerNetwork, type FakePeerNetwork, type Member, type PeerMessageHandler, type PeerRequestHandler,
} from '@fescuewick/membership';
import {MemoryObjectStore} from '@fescuewick/store';
import {
	type MessageBodies, type MessageType, type ReplyBodies, type RequestType, type VmRecord,
} from '@fescuewick/wire';
import {type ClaimService} from '../claim-service.js';
import {FleetClaimService} from '../fleet/fleet-claim-service.js';
import {makeOrderKeyPrefix} from '../order-key/order-key.js';
import {SimulatedStoreLink, WriteTokenBucket, type StoreLimits} from './simulated-store-link.js';
import {PerOrderClaimService} from './per-order-claims.js';

/** Claim methods that are compared. */
export enum ClaimMethod {
	perOrder = 'conditional create per order',
	ticket = 'ticket',
	journal = 'journal with group commit',
}

/** Limits of the platform's store used in the comparison. */
export const storeLimits: StoreLimits = {writesPerS: 300, serviceTimeMs: 3};
/** Region of the store in the model. */
export const storeRegion = 'addis';
const regions = ['addis', 'tigray', 'oromia'];
const crossRegionOneWayMs = 20;
const sameRegionOneWayMs = 0.5;
/** Time until a dead node is suspected and no longer chosen as an owner. */
const failureDetectionMs = 1500;

/** Peer network with latency within and between regions, and with delayed failure detection. */
class LatencyPeerNetwork extends PeerNetwork {
	constructor(readonly inner: FakePeerNetwork, readonly diedAtMs: ReadonlyMap<string, number>) {
		super();
	}

	get self(): VmRecord {
		return this.inner.self;
	}

	get incarnation(): Incarnation {
		return this.inner.incarnation;
	}

	members(): readonly Member[] {
		const nowMs = this.inner.hub.timers.nowMs();
		return this.inner.members().map(member => {
			const diedAtMs = this.diedAtMs.get(member.record.vm) ?? this.diedAtMs.get(member.record.failureDomain);
			const isUndetected = diedAtMs !== undefined && nowMs - diedAtMs < failureDetectionMs;
			return isUndetected ? {...member, state: MemberState.alive} : member;
		});
	}

	async request<Type extends RequestType>(vm: string, type: Type, body: MessageBodies[Type], timeoutMs: number): Promise<ReplyBodies[Type]> {
		const {timers, nodes} = this.inner.hub;
		const other = nodes.get(vm)?.self.region;
		const oneWayMs = vm === this.self.vm ? 0 : (other === this.self.region ? sameRegionOneWayMs : crossRegionOneWayMs);
		if (oneWayMs === 0) {
			return this.inner.request(vm, type, body, timeoutMs);
		}

		await timers.sleep(oneWayMs);
		const reply = await this.inner.request(vm, type, body, timeoutMs);
		await timers.sleep(oneWayMs);
		return reply;
	}

	send<Type extends MessageType>(vm: string, type: Type, body: MessageBodies[Type]): void {
		this.inner.send(vm, type, body);
	}

	handle<Type extends RequestType>(type: Type, handler: PeerRequestHandler<Type>): void {
		this.inner.handle(type, handler);
	}

	on<Type extends MessageType>(type: Type, handler: PeerMessageHandler<Type>): void {
		this.inner.on(type, handler);
	}

	onChange(listener: () => void): Cancel {
		return this.inner.onChange(listener);
	}
}

/** A VM of the model. */
export type ModelNode = {readonly record: VmRecord; readonly incarnation: Incarnation; readonly store: SimulatedStoreLink; readonly service: ClaimService};

/** Twelve VMs in three regions with two failure domains each, and a store in one region, under simulated time. */
export class FleetModel {
	readonly timers = new ManualTimerService();
	readonly store = new MemoryObjectStore(this.timers);
	readonly hub = new FakePeerHub(this.timers);
	readonly nodes: ModelNode[] = [];
	readonly #diedAtMs = new Map<string, number>();

	constructor(readonly method: ClaimMethod) {
		this.hub.delayMs = 0;
		const writeBucket = new WriteTokenBucket(this.timers, storeLimits.writesPerS);
		for (let index = 0; index < 12; index++) {
			this.#add(index, writeBucket);
		}
	}

	/** An order key in the form that the method needs; a ticket names the issuing node. */
	orderKey(index: number, issuer: ModelNode): string {
		const prefix = this.method === ClaimMethod.ticket ? makeOrderKeyPrefix(issuer.record.vm, incarnationId(issuer.incarnation), this.timers.wallClockMs()) : 'order-';
		return `${prefix}${index}`;
	}

	isDead({record}: ModelNode): boolean {
		return this.hub.deadVms.has(record.vm);
	}

	/** Whether the fleet has detected that the VM or its failure domain is unreachable. */
	isDetectedAsFailed({record}: ModelNode): boolean {
		const diedAtMs = this.#diedAtMs.get(record.vm) ?? this.#diedAtMs.get(record.failureDomain);
		return diedAtMs !== undefined && this.timers.nowMs() - diedAtMs >= failureDetectionMs;
	}

	kill({record}: ModelNode): void {
		this.#diedAtMs.set(record.vm, this.timers.nowMs());
		this.hub.kill(record.vm);
		this.#scheduleFailureDetection();
	}

	/** Cuts a failure domain off from all others and from the store. */
	cutOff(failureDomain: string): void {
		this.#diedAtMs.set(failureDomain, this.timers.nowMs());
		for (const {record, store} of this.nodes) {
			if (record.failureDomain === failureDomain) {
				store.isCut = true;
			} else {
				this.hub.cut(failureDomain, record.failureDomain);
			}
		}

		this.#scheduleFailureDetection();
	}

	heal(): void {
		this.#diedAtMs.clear();
		this.hub.heal();
		this.store.faults.down = false;
		for (const {store} of this.nodes) {
			store.isCut = false;
		}
	}

	#scheduleFailureDetection(): void {
		this.timers.after(failureDetectionMs, () => {
			this.hub.notifyAll();
		});
	}

	#add(index: number, writeBucket: WriteTokenBucket): void {
		const region = regions[index % 3];
		const record: VmRecord = {
			vm: `vm-${index}`, failureDomain: `${region}-${Math.floor(index / 3) % 2}`, region, controlAddress: '', entryUrl: '', lookupUrl: '', adminUrl: '', leaving: false,
		};
		const incarnation: Incarnation = {vm: record.vm, startedAtMs: 1, nonce: '0a'};
		const store = new SimulatedStoreLink(this.store, writeBucket, storeLimits.serviceTimeMs, region === storeRegion ? sameRegionOneWayMs : crossRegionOneWayMs);
		const peers = new LatencyPeerNetwork(this.hub.add(record, incarnation), this.#diedAtMs);
		const service = this.method === ClaimMethod.perOrder
			? new PerOrderClaimService(store)
			: new FleetClaimService({
				peers, store, timers: this.timers, logger: createSilentLogger(),
			}, {storeRegion});
		if (service instanceof FleetClaimService) {
			service.start();
		}

		this.nodes.push({
			record, incarnation, store, service,
		});
	}
}
