import {FescuewickError, ResultCode} from '@fescuewick/core';
import {absentVersion, type ObjectStore} from '@fescuewick/store';
import {type SliceDemandBody} from '@fescuewick/wire';
import {type RateQuota} from '../allocator/division.js';
import {type ShareSettings} from '../settings.js';
import {RemoteDemand} from './remote-demand.js';
import {
	adoptRate, applyStep, isSignificantChange, parseSliceObject, planStep, sliceKey, targetsOf, usableFraction, type SliceObject, type SliceStep, type WorkspaceSlices,
} from './slice-object.js';

/** Options of a slice manager. */
export type SliceManagerOptions = {
	readonly store: ObjectStore;
	readonly bucket: number;
	readonly domain: string;
	/** Text form of this control daemon's incarnation. */
	readonly incarnation: string;
	readonly settings: () => ShareSettings;
	/** Workspaces of the bucket. */
	readonly workspaces: () => string[];
	readonly domains: () => readonly string[];
	readonly nowMs: () => number;
	/** Demand and uncommitted quota of a workspace in this domain. */
	readonly state: (workspace: string) => {wantedPerS: number; uncommitted: RateQuota};
	/** Called with each confirmed change of this domain's slices. */
	readonly onMove?: (workspace: string, from: RateQuota, to: RateQuota) => void;
};

/** Results of a claim or refresh in the store. */
export enum SliceOutcome {
	/** The store answered, and this allocator is the recorded one. */
	current = 'current',
	/** The store records a newer allocator of the domain. */
	superseded = 'superseded',
	/** The store gave no usable answer; the last known slices stay in force. */
	unavailable = 'unavailable',
}

/** Slices of a workspace and their targets by demand, by domain. */
export type SliceDistribution = {readonly total: RateQuota; readonly slices: Readonly<Record<string, RateQuota>>; readonly targets: ReadonlyMap<string, RateQuota>};

/** Reads and writes the slices of one bucket in the store for the allocator of a failure domain. */
export class SliceManager {
	readonly #options: SliceManagerOptions;
	readonly #key: string;
	#object: SliceObject | undefined;
	#version = absentVersion;
	/** Objects of writes with unknown outcome, all conditional on the current version. */
	#unresolved: SliceObject[] = [];
	/** Quota that may be granted to holders, by workspace, while a part of the slice is being recalled. */
	readonly #grantable = new Map<string, RateQuota>();
	readonly #remoteDemand = new RemoteDemand();
	/** Demand that was announced to other domains and is not published yet. */
	readonly #announced = new Map<string, {wantedPerS: number; atMs: number}>();
	/** Workspaces whose slice differs from its target by more than `pendingChangeFraction`. */
	readonly #pendingChanges = new Set<string>();
	#moving = false;
	#reachable = false;
	/** Whether the last refresh released quota that another domain can add to its slice. */
	hasReleased = false;
	#isPlanDue = false;
	#first = false;

	constructor(options: SliceManagerOptions, public epoch: number) {
		this.#options = options;
		this.#key = sliceKey(options.bucket);
	}

	/** Whether the slices are known: once this claim is in the store, no write of an earlier allocator can take effect. */
	get known(): boolean {
		return this.#object !== undefined && this.#isOwn(this.#object.allocators[this.#options.domain]);
	}

	/** Whether slices are being moved towards their targets, or a write has an unknown outcome. */
	get moving(): boolean {
		return this.#moving || this.#unresolved.length > 0;
	}

	/** Version of the last known object in the store. */
	get version(): number {
		return this.#version;
	}

	/** Whether the workspace's slice is about to change, so that holders should renew ahead of the regular interval. */
	isChangePending(workspace: string): boolean {
		return this.#reachable && this.#pendingChanges.has(workspace);
	}

	/** Whether the store answered the read of the last refresh. */
	get reachable(): boolean {
		return this.#reachable;
	}

	/** Slices and targets of a workspace in all domains, by published and announced demand; undefined if the workspace has no entry. */
	distributionOf(workspace: string): SliceDistribution | undefined {
		const entry = this.#object?.workspaces[workspace];
		if (entry === undefined) {
			return undefined;
		}

		const {domain, domains, state, nowMs} = this.#options;
		const planned = this.#remoteDemand.apply(entry, workspace, nowMs());
		return {total: entry.total, slices: entry.slices, targets: targetsOf(planned, {domain, domains: domains()}, state(workspace).wantedPerS)};
	}

	/** Allocators of the other domains, as recorded in the store. */
	get otherAllocators(): Array<{domain: string; vm: string}> {
		return Object.entries(this.#object?.allocators ?? {})
			.filter(([domain]) => domain !== this.#options.domain)
			// The text form of an incarnation begins with the VM; the two fields after it contain no dots.
			.map(([domain, {incarnation}]) => ({domain, vm: incarnation.split('.').slice(0, -2).join('.')}));
	}

	/** Returns the demand to announce, which then counts as announced: demand that changed since it was announced or published, and announcements to repeat. */
	takeDemandUpdates(): SliceDemandBody['wanted'] {
		const {workspaces, domain, state, nowMs} = this.#options;
		const updates: Array<SliceDemandBody['wanted'][number]> = [];
		for (const workspace of workspaces()) {
			const entry = this.#object?.workspaces[workspace] ?? emptyEntry;
			const own = entry.slices[domain];
			if (own === undefined) {
				continue;
			}

			const {wantedPerS: publishedPerS} = own;
			const {wantedPerS} = state(workspace);
			const announced = this.#announced.get(workspace);
			if (isSignificantChange(entry, announced?.wantedPerS ?? publishedPerS, wantedPerS)) {
				this.#announced.set(workspace, {wantedPerS, atMs: nowMs()});
				updates.push({workspace, wantedPerS, publishedPerS});
			} else if (announced?.wantedPerS === publishedPerS) {
				this.#announced.delete(workspace);
			} else if (announced !== undefined && nowMs() - announced.atMs >= reannounceIntervalMs) {
				// Demand that is close to the published value again is not published, so announcing the published value withdraws the former announcement.
				const isChanged = isSignificantChange(entry, publishedPerS, wantedPerS);
				this.#announced.set(workspace, {wantedPerS: isChanged ? wantedPerS : publishedPerS, atMs: nowMs()});
				updates.push({workspace, wantedPerS: isChanged ? wantedPerS : publishedPerS, publishedPerS});
			}
		}

		this.#isPlanDue ||= updates.length > 0;
		return updates;
	}

	/** Records the demand of another domain; returns whether the store has a newer version to read. */
	receiveDemand(body: SliceDemandBody): boolean {
		this.#remoteDemand.receive(body, workspace => this.#object?.workspaces[workspace], this.#options.nowMs());
		this.#isPlanDue ||= body.wanted.length > 0;
		return body.version > this.#version;
	}

	/** Plans the next write from the last known object; returns whether it would change a slice of this domain by more than `urgentChangeFraction`. */
	planAhead(): boolean {
		if (!this.known || !this.#reachable || !(this.#isPlanDue || this.#moving)) {
			return false;
		}

		this.#isPlanDue = false;
		const {domain} = this.#options;
		const object = this.#object!;
		const next = this.#plan(object);
		return Object.entries(next.workspaces).some(([workspace, {slices, total}]) =>
			Math.abs((slices[domain]?.ratePerS ?? 0) - this.#sliceIn(object, workspace).ratePerS) > urgentChangeFraction * total.ratePerS);
	}

	/** The slice of a workspace; the minimum of the possible ones while the outcome of a write is unknown. */
	sizeOf(workspace: string): RateQuota {
		let {ratePerS, burst} = this.#sliceIn(this.#object, workspace);
		for (const object of this.#unresolved) {
			const slice = this.#sliceIn(object, workspace);
			ratePerS = Math.min(ratePerS, slice.ratePerS);
			burst = Math.min(burst, slice.burst);
		}

		return {ratePerS, burst};
	}

	/** Quota of the slice that may be granted to holders. */
	grantableOf(workspace: string): RateQuota {
		const size = this.sizeOf(workspace);
		const entry = this.#object?.workspaces[workspace];
		if (entry === undefined) {
			return size;
		}

		const {rates, revision} = this.#options.settings();
		const fraction = usableFraction(entry, rates.get(workspace), revision);
		const limit = this.#grantable.get(workspace) ?? size;
		return {
			ratePerS: Math.min(size.ratePerS * fraction.ratePerS, limit.ratePerS),
			burst: Math.min(size.burst * fraction.burst, limit.burst),
		};
	}

	/** Records this allocator in the store with a new epoch, at least `epoch`; `first` is true if the domain had no allocator before. */
	async claim(epoch: number): Promise<{outcome: SliceOutcome; first: boolean}> {
		this.epoch = epoch;
		for (let attempt = 0; attempt < maxClaimAttempts; attempt++) {
			if (!await this.#read()) {
				return {outcome: SliceOutcome.unavailable, first: false};
			}

			const object = this.#object!;
			const recorded = object.allocators[this.#options.domain];
			if (this.#isOwn(recorded)) {
				return {outcome: SliceOutcome.current, first: attempt === 0 ? false : this.#first};
			}

			this.#first = recorded === undefined;
			this.epoch = Math.max(this.epoch, (recorded?.epoch ?? 0) + 1);
			if (await this.#write(this.#withClaim(object))) {
				return {outcome: SliceOutcome.current, first: this.#first};
			}
		}

		return {outcome: SliceOutcome.unavailable, first: false};
	}

	/** Reads the slices, moves them towards demand and checks that this allocator is still the recorded one. */
	async refresh(): Promise<SliceOutcome> {
		if (!await this.#read()) {
			// Without the store nothing can be released, so recalled quota is granted again.
			this.#grantable.clear();
			this.#reachable = false;
			return SliceOutcome.unavailable;
		}

		this.#reachable = true;
		this.hasReleased = false;
		const object = this.#object!;
		const recorded = object.allocators[this.#options.domain];
		if (this.#isSupersededBy(recorded)) {
			return SliceOutcome.superseded;
		}

		const next = this.#plan(this.#isOwn(recorded) ? object : this.#withClaim(object));
		if (next !== object && await this.#write(next)) {
			this.hasReleased = Object.entries(next.workspaces).some(([workspace, {free}]) => free.ratePerS > (object.workspaces[workspace]?.free.ratePerS ?? 0));
			this.#reportMoves(object, next);
		}

		return SliceOutcome.current;
	}

	#reportMoves(before: SliceObject, after: SliceObject): void {
		for (const workspace of Object.keys(after.workspaces)) {
			const from = this.#sliceIn(before, workspace);
			const to = this.#sliceIn(after, workspace);
			if (from.ratePerS !== to.ratePerS || from.burst !== to.burst) {
				this.#options.onMove?.(workspace, from, to);
			}
		}
	}

	#isOwn(recorded: {incarnation: string; epoch: number} | undefined): boolean {
		return recorded?.incarnation === this.#options.incarnation && recorded.epoch === this.epoch;
	}

	#isSupersededBy(recorded: {incarnation: string; epoch: number} | undefined): boolean {
		return (recorded?.epoch ?? -1) >= this.epoch && recorded?.incarnation !== this.#options.incarnation;
	}

	#withClaim(object: SliceObject): SliceObject {
		return {...object, allocators: {...object.allocators, [this.#options.domain]: {incarnation: this.#options.incarnation, epoch: this.epoch}}};
	}

	/** The object after the next step of each workspace, or the same object if there is nothing to write. */
	#plan(object: SliceObject): SliceObject {
		const {settings, workspaces, domain} = this.#options;
		const {rates, revision} = settings();
		const names = new Set([...workspaces(), ...Object.keys(object.workspaces)]);
		const changed: Record<string, WorkspaceSlices> = {};
		this.#moving = false;
		for (const name of names) {
			const before = object.workspaces[name];
			const entry = adoptRate(before, rates.get(name), revision);
			if (entry === undefined) {
				continue;
			}

			const planned = this.#remoteDemand.apply(entry, name, this.#options.nowMs());
			const step = planStep(planned, {domain, domains: this.#options.domains(), ...this.#options.state(name)});
			this.#trackChange(name, entry, step);
			if (entry !== before || this.#differs(entry, step)) {
				changed[name] = applyStep(entry, domain, step, this.epoch);
			}
		}

		return Object.keys(changed).length === 0 ? object : {...object, workspaces: {...object.workspaces, ...changed}};
	}

	#trackChange(name: string, entry: WorkspaceSlices, step: SliceStep): void {
		const own = entry.slices[this.#options.domain];
		if (Math.abs((own?.ratePerS ?? 0) - step.target.ratePerS) > pendingChangeFraction * entry.total.ratePerS) {
			this.#pendingChanges.add(name);
		} else {
			this.#pendingChanges.delete(name);
		}

		if (own !== undefined && (step.grantable.ratePerS < own.ratePerS || step.grantable.burst < own.burst)) {
			this.#grantable.set(name, step.grantable);
			this.#moving = true;
		} else {
			this.#grantable.delete(name);
			this.#moving ||= entry.free.ratePerS > 0.01 * entry.total.ratePerS;
		}
	}

	#differs(entry: WorkspaceSlices, step: SliceStep): boolean {
		const own = entry.slices[this.#options.domain];
		return own?.ratePerS !== step.next.ratePerS || own.burst !== step.next.burst || own.wantedPerS !== step.wantedPerS;
	}

	#sliceIn(object: SliceObject | undefined, workspace: string): RateQuota {
		return object?.workspaces[workspace]?.slices[this.#options.domain] ?? {ratePerS: 0, burst: 0};
	}

	async #read(): Promise<boolean> {
		try {
			const stored = await this.#options.store.read(this.#key);
			const version = stored?.version ?? absentVersion;
			if (version >= this.#version) {
				this.#adopt(parseSliceObject(stored?.value), version);
			}

			return true;
		} catch {
			return false;
		}
	}

	/** Writes conditionally; released quota is out of use from now on, gained quota only after the write is confirmed. */
	async #write(next: SliceObject): Promise<boolean> {
		this.#unresolved.push(next);
		try {
			const version = await this.#options.store.write(this.#key, next, this.#version);
			this.#adopt(next, version);
			return true;
		} catch (error) {
			// After any other error the write may still take effect while the version stays the same.
			if (error instanceof FescuewickError && definiteFailures.has(error.code)) {
				this.#unresolved = this.#unresolved.filter(object => object !== next);
			}

			return false;
		}
	}

	#adopt(object: SliceObject, version: number): void {
		if (version !== this.#version) {
			// Writes conditional on the former version can no longer take effect.
			this.#unresolved = [];
		}

		this.#object = object;
		this.#version = version;
	}
}

/** Errors of a write after which it cannot take effect later. */
const definiteFailures: ReadonlySet<ResultCode> = new Set([ResultCode.storeConflict, ResultCode.storeUnavailable, ResultCode.storeValueTooLarge]);
/** Domains that start at the same time conflict with each other; each conflict means that another domain's write succeeded. */
const maxClaimAttempts = 12;
/** Interval at which unpublished demand is announced again, because messages may be lost. */
const reannounceIntervalMs = 2000;
/** Change of a slice, as a fraction of the workspace's rate, above which the store is called ahead of the regular interval. */
const urgentChangeFraction = 0.02;
/** Distance from the target, as a fraction of the workspace's rate, above which a change of the slice counts as pending. */
const pendingChangeFraction = 0.04;
const emptyEntry: WorkspaceSlices = {
	revision: 0, total: {ratePerS: 0, burst: 0}, free: {ratePerS: 0, burst: 0}, slices: {},
};
