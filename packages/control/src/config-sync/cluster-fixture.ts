import {
	createSilentLogger, FescuewickError, ManualTimerService, PausableTimerService, ResultCode, sha256Hex, type TimerService,
} from '@fescuewick/core';
import {
	applyConfiguration, documentSchema, loadConfiguration, type ConfigurationDocument,
} from '@fescuewick/config';
import {
	createMesh, memoryRecord, seededRandom, type PeerMesh,
} from '@fescuewick/membership';
import {
	MemoryObjectStore, StoreDecorator, type ObjectStore, type StoreCallKind,
} from '@fescuewick/store';
import {MemoryNetwork, type VmRecord} from '@fescuewick/wire';
import {KeyState} from '../keys/key-state.js';
import {type RevokedKeys} from '../keys/revoked-keys.js';
import {ConfigSync} from './config-sync.js';
import {type HeldConfiguration} from './held-configuration.js';

export function testKeyHash(key: string): string {
	return sha256Hex(key);
}

/** A small valid document with the given keys; documents with different `variant`s differ. */
export function testDocument(keys: readonly string[] = [], variant = 1): ConfigurationDocument {
	return documentSchema.parse({
		classes: [{
			name: 'check', latenessTargetMs: 100 + variant, deadlineMs: 100_000, safety: 'repeatable',
		}],
		services: [{name: 'booking', routes: [{method: 'GET', pathPrefix: '/', class: 'check'}]}],
		workspaces: [{name: 'shop', ratePerS: 10, burst: 10}],
		keys: keys.map(key => ({id: key, workspace: 'shop', sha256: testKeyHash(key)})),
	});
}

/** The store as one node reaches it: counts the node's calls and fails them while the node is cut off from the store. */
export class NodeStore extends StoreDecorator {
	calls = 0;

	constructor(store: ObjectStore, readonly timers: TimerService, readonly isCut: () => boolean) {
		super(store);
	}

	/** A node that is cut off gets no answers, including those of calls in progress. */
	protected async intercept<Value>(_kind: StoreCallKind, call: () => Promise<Value>): Promise<Value> {
		this.calls++;
		if (this.isCut()) {
			await this.timers.sleep(500);
			throw new FescuewickError(ResultCode.storeUnavailable, 'node is cut off from the store');
		}

		const value = await call();
		if (this.isCut()) {
			throw new FescuewickError(ResultCode.storeTimeout, 'node is cut off from the store');
		}

		return value;
	}
}

/** One control node of a test cluster. */
export type TestNode = {readonly record: VmRecord; readonly mesh: PeerMesh; readonly sync: ConfigSync; readonly keys: KeyState; readonly store: NodeStore; readonly timers: PausableTimerService};

/** Faulty implementations with which tests verify that their checks detect the fault. */
export type FaultyImplementations = {readonly held?: () => HeldConfiguration; readonly revoked?: (timers: TimerService) => RevokedKeys};

/** Control nodes in one process, with memory links, a memory store and injectable faults. */
export class TestCluster {
	readonly timers: ManualTimerService;
	readonly network: MemoryNetwork;
	readonly store: MemoryObjectStore;
	readonly nodes = new Map<string, TestNode>();
	readonly cutFromStore = new Set<string>();
	readonly #seed: string;
	#startCount = 0;

	constructor(readonly records: readonly VmRecord[], seed = 'seed', readonly faultyImplementations: FaultyImplementations = {}) {
		this.#seed = seed;
		this.timers = new ManualTimerService();
		this.network = new MemoryNetwork(this.timers);
		this.network.delayMs = 5;
		this.store = new MemoryObjectStore(this.timers);
	}

	/** Records of `nodesPerDomain` nodes in each of `domains` failure domains: `d0n0`, `d0n1`, and so on. */
	static records(domains: number, nodesPerDomain: number): VmRecord[] {
		return Array.from({length: domains * nodesPerDomain}, (_, index) => {
			const domain = index % domains;
			return memoryRecord(`d${domain}n${Math.floor(index / domains)}`, `d${domain}`);
		});
	}

	node(vm: string): TestNode {
		return this.nodes.get(vm)!;
	}

	/** Starts the node of a record and replaces a running one. */
	async start(record: VmRecord): Promise<TestNode> {
		const {network} = this;
		const timers = new PausableTimerService(this.timers);
		const run = this.#startCount++;
		const store: NodeStore = new NodeStore(this.store, timers, () => this.cutFromStore.has(record.vm) || this.nodes.get(record.vm)?.store !== store);
		const seeds = [...new Set([this.records[0], this.records.at(-1)!])].map(other => other.controlAddress);
		const mesh = createMesh({timers, transport: host => network.transport(host)}, record, {seeds, run});
		const common = {
			peers: mesh, store, timers, logger: createSilentLogger(), random: seededRandom(`${this.#seed}/${record.vm}/${run}`),
		};
		const sync = new ConfigSync({...common, held: this.faultyImplementations.held?.()});
		const keys = new KeyState({...common, config: sync, revoked: this.faultyImplementations.revoked?.(timers)});
		const node = {
			record, mesh, sync, keys, store, timers,
		};
		this.nodes.set(record.vm, node);
		mesh.setHeartbeatSource(() => keys.heartbeat());
		await mesh.start();
		keys.start();
		void sync.start();
		return node;
	}

	async startAll(): Promise<void> {
		for (const record of this.records) {
			await this.start(record);
		}
	}

	/** Pauses a process as SIGSTOP does; its sockets stay open. */
	pause(vm: string): void {
		this.node(vm).timers.pause();
		this.network.pause(vm);
	}

	/** Resumes a paused process: its due timers run first, then it receives the messages that arrived meanwhile. */
	resume(vm: string): void {
		this.nodes.get(vm)?.timers.resume();
		this.network.resume(vm);
	}

	/** Stops a node abruptly, as a crash does. */
	kill(vm: string): void {
		const node = this.node(vm);
		this.network.resume(vm);
		this.nodes.delete(vm);
		this.network.kill(vm);
		node.sync.stop();
		node.keys.stop();
		void node.mesh.stop();
	}

	/** Applies a document as an operator does, based on the configuration read just before. */
	async apply(document: ConfigurationDocument, summary = 'test'): Promise<number> {
		const head = await applyConfiguration(this.store, await loadConfiguration(this.store), document, {author: 'test', summary});
		return head.revision;
	}

	/** Cuts all nodes of two failure domains from each other. */
	partition(first: string, second: string): void {
		for (const a of this.records.filter(record => record.failureDomain === first)) {
			for (const b of this.records.filter(record => record.failureDomain === second)) {
				this.network.cut(a.vm, b.vm);
			}
		}
	}

	/** Removes all cuts and store faults. */
	heal(): void {
		this.network.heal();
		this.cutFromStore.clear();
		Object.assign(this.store.faults, {
			down: false, slowMs: 0, loseAnswers: 0, silent: false,
		});
	}

	revisions(): number[] {
		return [...this.nodes.values()].map(node => node.sync.revision);
	}

	stop(): void {
		for (const vm of this.nodes.keys()) {
			this.kill(vm);
		}
	}
}
