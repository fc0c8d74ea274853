import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';

type ParserInputOptions = {
	/** Receives what was read from the socket. */
	readonly onData: (data: Buffer) => void;
	/** Called when the HTTP server resumes the socket; returns whether it may flow. */
	readonly onResume: () => boolean;
};

/** Stands between a socket and the parser of its HTTP server: the server's pauses are recorded, and data reaches its parser only by `parse`. */
export class ParserInput {
	#isPausedByServer = false;
	readonly #parsers: ReadonlyArray<(data: Buffer) => void>;
	readonly #pause: () => Socket;
	readonly #resume: () => Socket;

	constructor(private readonly socket: Socket, {onData, onResume}: ParserInputOptions) {
		this.#pause = socket.pause.bind(socket);
		this.#resume = socket.resume.bind(socket);
		this.#parsers = socket.listeners('data') as Array<(data: Buffer) => void>;
		socket.removeAllListeners('data');
		socket.pause = () => {
			this.#isPausedByServer = true;
			return this.#pause();
		};

		socket.resume = () => {
			this.#isPausedByServer = false;
			return onResume() ? this.#resume() : socket;
		};

		// With another listener than its own, the server no longer reads the socket below JavaScript.
		socket.on('data', onData);
	}

	/** Whether the HTTP server wants no data, as while a body is not read; its parser takes none either. */
	get isPausedByServer(): boolean {
		return this.#isPausedByServer;
	}

	/** Hands data to the parser. */
	parse(data: Buffer): void {
		for (const parser of this.#parsers) {
			parser.call(this.socket, data);
		}
	}

	/** Reads the socket, or stops reading it. */
	setFlowing(isFlowing: boolean): void {
		if (isFlowing) {
			this.#resume();
		} else {
			this.#pause();
		}
	}
}
