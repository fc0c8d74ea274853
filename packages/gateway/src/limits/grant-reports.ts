/** Number of requests of a workspace that a pool's owner has admitted, to be sent to the owners of the workspace's other pools. */
export type GrantReport = {
	readonly workspace: string;
	readonly passed: number;
	readonly owners: readonly string[];
};

type PendingReport = {readonly passed: number; readonly atMs: number; readonly unconfirmed: Set<string>};

/**
Reports of a pool's owner between its heartbeats, and their confirmations.

Grants are reported in heartbeats once a second, and at a demand near the rate a pool is used up before. All owners of other pools must confirm a report before its grants count as known, so a failure domain that is cut off or a lost datagram delays the release until the heartbeats.
*/
export class GrantReports {
	readonly #pending = new Map<string, PendingReport>();

	/** Records a report that is sent now. */
	start({workspace, passed, owners}: GrantReport, nowMs: number): void {
		this.#pending.set(workspace, {passed, atMs: nowMs, unconfirmed: new Set(owners)});
	}

	/** Applies an owner's confirmation; returns the time up to which all owners know the grants, undefined while confirmations are missing. */
	confirm(workspace: string, passed: number, owner: string): number | undefined {
		const report = this.#pending.get(workspace);
		if (report?.passed !== passed || !report.unconfirmed.delete(owner) || report.unconfirmed.size > 0) {
			return undefined;
		}

		this.#pending.delete(workspace);
		return report.atMs;
	}
}
