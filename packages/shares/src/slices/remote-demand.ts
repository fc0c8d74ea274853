import {type SliceDemandBody} from '@fescuewick/wire';
import {type WorkspaceSlices} from './slice-object.js';

/** Lifetime of an announcement; senders repeat unpublished demand every 2 s, so an older announcement is outdated. */
const announcementTtlMs = 5000;

type Announcement = {
	readonly wantedPerS: number;
	/** Published demand as known to the receiver and to the sender when the message arrived. */
	readonly published: readonly number[];
	readonly atMs: number;
};

/** Demand that other failure domains have announced in messages; it replaces their published demand until that changes. */
export class RemoteDemand {
	readonly #announcements = new Map<string, Announcement>();

	/** Records the announcements of a message; `entryOf` returns the published entry of a workspace. */
	receive({domain, wanted}: SliceDemandBody, entryOf: (workspace: string) => WorkspaceSlices | undefined, nowMs: number): void {
		for (const {workspace, wantedPerS, publishedPerS} of wanted) {
			const published = entryOf(workspace)?.slices[domain]?.wantedPerS;
			if (published !== undefined) {
				this.#announcements.set(`${domain}/${workspace}`, {wantedPerS: Math.max(0, wantedPerS), published: [published, publishedPerS], atMs: nowMs});
			}
		}
	}

	/** The entry with announced demand in place of published demand; for planning only, never written to the store. */
	apply(entry: WorkspaceSlices, workspace: string, nowMs: number): WorkspaceSlices {
		let slices: WorkspaceSlices['slices'] | undefined;
		for (const [domain, slice] of Object.entries(entry.slices)) {
			const key = `${domain}/${workspace}`;
			const announcement = this.#announcements.get(key);
			if (announcement === undefined) {
				continue;
			}

			if (!announcement.published.includes(slice.wantedPerS) || nowMs - announcement.atMs >= announcementTtlMs) {
				this.#announcements.delete(key);
				continue;
			}

			slices ??= {...entry.slices};
			slices[domain] = {...slice, wantedPerS: announcement.wantedPerS};
		}

		return slices === undefined ? entry : {...entry, slices};
	}
}
