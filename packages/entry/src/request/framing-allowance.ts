/**
Limits what a peer may send besides the bytes of a body: heads, chunk sizes and extensions, trailers, informational answers.

Each header field and each chunk costs a call of the HTTP parser, however few bytes it has, so a limit on the length of a body alone bounds neither processor time nor memory. Framing may take a fixed number of bytes and as many as the body.
*/
export class FramingAllowance {
	#receivedBytes = 0;
	#bodyBytes = 0;

	constructor(private readonly limitBytes: number) {}

	/** Starts a new message. */
	reset(): void {
		this.#receivedBytes = 0;
		this.#bodyBytes = 0;
	}

	/** Records bytes received from the peer. */
	recordReceived(sizeBytes: number): void {
		this.#receivedBytes += sizeBytes;
	}

	/** Records bytes that the HTTP parser has found to be of the body. */
	recordBody(sizeBytes: number): void {
		this.#bodyBytes += sizeBytes;
	}

	/** Why the message must not be read any further; undefined while it may. */
	get problem(): string | undefined {
		const framingBytes = this.#receivedBytes - this.#bodyBytes;
		return framingBytes > this.limitBytes + this.#bodyBytes ? `${framingBytes} bytes besides ${this.#bodyBytes} bytes of body; ${this.limitBytes} and as many as the body are allowed` : undefined;
	}
}
