import {
	documentSchema, DrainKind, type ConfigurationDocument, type WorkspaceSettings,
} from '@fescuewick/config';
import {type Location, type Logger, type TimerService} from '@fescuewick/core';
import {type BackendRecord, type SnapshotBody} from '@fescuewick/wire';
import {IssuedKeys, RevokedKeys} from './keys.js';
import {RouteTable} from './route-table.js';

/** A configuration with indexes for routes, keys and workspaces. */
export type CompiledConfiguration = {
	readonly revision: number;
	readonly document: ConfigurationDocument;
	readonly routes: RouteTable;
	readonly keys: IssuedKeys;
	readonly workspaces: ReadonlyMap<string, WorkspaceSettings>;
};

/** Configuration, keys and backend servers, from the snapshots of the control daemon. */
export class FleetView {
	readonly revoked = new RevokedKeys();
	#configuration: CompiledConfiguration | undefined;
	/** Backend servers of all failure domains, as the platform lists them. */
	#listedBackends: readonly BackendRecord[] = [];
	#backends: readonly BackendRecord[] = [];
	#keysConfirmedAtMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly timers: TimerService, private readonly logger: Logger, private readonly location: Location) {}

	/** Undefined until the first valid snapshot. */
	get configuration(): CompiledConfiguration | undefined {
		return this.#configuration;
	}

	/** Backend servers of the VM's failure domain; `leaving` includes configured drains. */
	get backends(): readonly BackendRecord[] {
		return this.#backends;
	}

	/** Time since the keys were last confirmed to be current; infinite if they never were. */
	keysAgeMs(): number {
		return this.timers.nowMs() - this.#keysConfirmedAtMs;
	}

	/** Records that the keys of `revision` were confirmed `keysAgeMs` ago; ignored for a revision that is not in use. */
	confirmKeys(revision: number, keysAgeMs: number | undefined): void {
		if (keysAgeMs !== undefined && revision === this.#configuration?.revision) {
			this.#keysConfirmedAtMs = Math.max(this.#keysConfirmedAtMs, this.timers.nowMs() - keysAgeMs);
		}
	}

	/** Applies a snapshot; returns the hashes of the keys that it newly revokes. */
	applySnapshot(snapshot: SnapshotBody): string[] {
		const added = this.revoked.merge(snapshot.revokedKeyHashes);
		const currentRevision = this.#configuration?.revision ?? -1;
		if (snapshot.revision > currentRevision) {
			this.#compile(snapshot);
		}

		// A snapshot of an older revision does not confirm the keys of the newer one.
		if (snapshot.keysAgeMs !== undefined && snapshot.revision >= currentRevision) {
			this.#keysConfirmedAtMs = Math.max(this.#keysConfirmedAtMs, this.timers.nowMs() - snapshot.keysAgeMs);
		}

		const drains = this.#configuration?.document.drains ?? [];
		this.#listedBackends = snapshot.backends ?? this.#listedBackends;
		this.#backends = this.#listedBackends
			.filter(record => record.failureDomain === this.location.failureDomain)
			.map(record => ({
				...record,
				leaving: record.leaving || drains.some(drain => (drain.kind === DrainKind.server && drain.name === record.server)
					|| (drain.kind === DrainKind.failureDomain && drain.name === record.failureDomain)),
			}));
		return added;
	}

	#compile({revision, configuration}: SnapshotBody): void {
		const parsed = documentSchema.safeParse(configuration);
		if (!parsed.success) {
			this.logger.error({revision, problem: parsed.error.issues[0]?.message}, 'snapshot contains an invalid configuration; the previous one stays in use');
			return;
		}

		const document = parsed.data;
		this.#configuration = {
			revision,
			document,
			routes: new RouteTable(document),
			keys: new IssuedKeys(document.keys),
			workspaces: new Map(document.workspaces.map(workspace => [workspace.name, workspace])),
		};
	}
}
