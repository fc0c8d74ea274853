import {type Logger} from '@fescuewick/core';
import {type PeerNetwork} from '@fescuewick/membership';
import {MessageType, type ClaimAnswersBody, type StoredAnswer} from '@fescuewick/wire';
import {answerSizeBytes} from '../answers/answer-cache.js';
import {type JournalAuthority} from '../journal/journal-authority.js';

/** A batch is sent once its answers reach this size; with the answer that crosses the threshold it still fits the frame limit. */
const batchThresholdBytes = 256 * 1024;
const requestTimeoutMs = 1000;

/** Dependencies of an `AnswerHandover`. */
export type AnswerHandoverDependencies = {
	readonly peers: PeerNetwork;
	readonly journal: JournalAuthority;
	readonly logger: Logger;
};

/**
Sends the first answers of orders that this node holds to the current owners of their partitions.

The latest short answers are also stored in the journal tail. All others are only in the memory of nodes, so without a handover repeats could not get them after a change of ownership. That happens most while the mesh forms, when each node considers itself the owner of every partition.
*/
export class AnswerHandover {
	readonly #dependencies: AnswerHandoverDependencies;
	/** Answers that an owner has accepted. They are not sent again after a further change of ownership, because that owner hands them over itself. */
	readonly #acceptedAnswers = new WeakSet<StoredAnswer>();
	#currentRun: Promise<void> | undefined;

	constructor(dependencies: AnswerHandoverDependencies) {
		this.#dependencies = dependencies;
	}

	/** Hands over the answers that no owner has accepted yet; `ownerOf` returns the VM that owns a partition. Never rejects. Answers that an owner does not accept are sent again by the next call. */
	async run(ownerOf: (partition: number) => string | undefined): Promise<void> {
		this.#currentRun ??= this.#sendAll(ownerOf);
		try {
			await this.#currentRun;
		} finally {
			this.#currentRun = undefined;
		}
	}

	async #sendAll(ownerOf: (partition: number) => string | undefined): Promise<void> {
		const {peers, journal} = this.#dependencies;
		for (const partition of journal.loadedPartitions) {
			const owner = ownerOf(partition);
			if (owner === undefined || owner === peers.self.vm) {
				continue;
			}

			const answers = journal.cachedAnswers(partition).filter(({answer}) => !this.#acceptedAnswers.has(answer));
			for (const batch of batches(answers)) {
				if (!await this.#sendBatch(owner, {partition, answers: batch})) {
					break;
				}
			}
		}
	}

	async #sendBatch(owner: string, body: ClaimAnswersBody): Promise<boolean> {
		const {peers, logger} = this.#dependencies;
		try {
			await peers.request(owner, MessageType.claimAnswers, body, requestTimeoutMs);
		} catch (error) {
			logger.debug({err: error, owner, partition: body.partition}, 'answers were not handed over');
			return false;
		}

		for (const {answer} of body.answers) {
			this.#acceptedAnswers.add(answer);
		}

		logger.info({owner, partition: body.partition, answers: body.answers.length}, 'answers handed over to the owner of their partition');
		return true;
	}
}

function * batches(answers: ClaimAnswersBody['answers']): Generator<ClaimAnswersBody['answers']> {
	let batch: Array<ClaimAnswersBody['answers'][number]> = [];
	let sizeBytes = 0;
	for (const item of answers) {
		batch.push(item);
		sizeBytes += answerSizeBytes(item.answer);
		if (sizeBytes >= batchThresholdBytes) {
			yield batch;
			batch = [];
			sizeBytes = 0;
		}
	}

	if (batch.length > 0) {
		yield batch;
	}
}
