import {Task, toFescuewickError, type Logger} from '@fescuewick/core';
import {
	MessageType, SnapshotFeed, type Link, type SnapshotBody, type SnapshotDeltaBody,
} from '@fescuewick/wire';

/** Events that the publisher handles. */
export enum PublishEvent {
	subscribed = 'subscribed',
	unsubscribed = 'unsubscribed',
	changed = 'changed',
}

type PublishMessage = {readonly event: PublishEvent.subscribed | PublishEvent.unsubscribed; readonly link: Link} | {readonly event: PublishEvent.changed};

/** Sends snapshots to the subscribed daemons of the VM; changes in quick succession are published once. */
export class SnapshotPublisher extends Task<PublishMessage> {
	readonly #subscribers = new Set<Link>();
	/** Subscribers that have not received all pages and therefore need the complete snapshot next. */
	readonly #incomplete = new Set<Link>();
	readonly #feed = new SnapshotFeed();
	readonly #snapshot: () => SnapshotBody | undefined;
	#isPublishPending = false;

	constructor(logger: Logger, snapshot: () => SnapshotBody | undefined) {
		super('snapshot-publisher', logger);
		this.#snapshot = snapshot;
	}

	/** Schedules publication of the current snapshot. */
	publishSoon(): void {
		if (!this.#isPublishPending) {
			this.#isPublishPending = true;
			this.send({event: PublishEvent.changed});
		}
	}

	protected handle(message: PublishMessage): void {
		switch (message.event) {
			case PublishEvent.subscribed: {
				this.#subscribers.add(message.link);
				this.#incomplete.add(message.link);
				this.#publish();
				break;
			}

			case PublishEvent.unsubscribed: {
				this.#subscribers.delete(message.link);
				this.#incomplete.delete(message.link);
				break;
			}

			default: {
				this.#isPublishPending = false;
				this.#publish();
			}
		}
	}

	#publish(): void {
		if (this.#subscribers.size === 0) {
			return;
		}

		const snapshot = this.#snapshot();
		if (snapshot === undefined) {
			return;
		}

		const changes = this.#feed.update(snapshot);
		for (const link of this.#subscribers) {
			this.#sendPages(link, this.#incomplete.has(link) ? this.#feed.fullPages() : changes, snapshot.revision);
		}
	}

	#sendPages(link: Link, pages: readonly SnapshotDeltaBody[], revision: number): void {
		try {
			for (const page of pages) {
				link.send(MessageType.snapshotDelta, page);
			}

			this.#incomplete.delete(link);
		} catch (error) {
			// The daemon keeps its last snapshot; a row that exceeds the size of a frame cannot be sent.
			this.#incomplete.add(link);
			const {code, message} = toFescuewickError(error);
			this.logger.error({
				code, reason: message, revision, role: link.peer?.role,
			}, 'snapshot could not be sent to a daemon');
		}
	}
}
