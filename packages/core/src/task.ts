import Emittery from 'emittery';
import {type Logger} from './logger.js';

/** An actor: owns its state and sockets, which other code reaches only by sending messages. */
export abstract class Task<Message> {
	readonly #mailbox = new Emittery<{message: Message}>();
	readonly #queue: Message[] = [];
	#running = false;
	#stopped = false;
	#idle: Promise<void> = Promise.resolve();

	protected constructor(readonly name: string, protected readonly logger: Logger) {
		this.#mailbox.on('message', data => {
			this.#queue.push(data);
			if (!this.#running) {
				this.#running = true;
				this.#idle = this.#handleQueued();
			}
		});
	}

	/** Queues a message; messages are handled one at a time, in order. Ignored after `stop`. */
	send(message: Message): void {
		if (!this.#stopped) {
			void this.#mailbox.emit('message', message);
		}
	}

	/** Resolves when the queue is empty and no message is being handled. */
	async idle(): Promise<void> {
		await this.#idle;
	}

	/** Discards queued messages and waits for the one being handled. */
	async stop(): Promise<void> {
		this.#stopped = true;
		this.#queue.length = 0;
		this.#mailbox.clearListeners();
		await this.#idle;
	}

	/** Handles one message; an error is logged, and later messages are still handled. */
	protected abstract handle(message: Message): Promise<void> | void;

	async #handleQueued(): Promise<void> {
		for (let message = this.#queue.shift(); message !== undefined; message = this.#queue.shift()) {
			try {
				await this.handle(message);
			} catch (error) {
				this.logger.error({err: error, task: this.name}, 'task failed to handle a message');
			}
		}

		this.#running = false;
	}
}
