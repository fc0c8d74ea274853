/** A client's connection that is written and read as bytes, so that requests can be sent ahead and nothing is sent twice. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';

const headEnd = '\r\n\r\n';

/** A connection to a VM; answers are matched to requests by their order. */
export class ClientConnection {
	/** Why the connection ended; undefined while it is open. */
	ended = undefined;
	#pending = [];
	#received = [];
	#head;
	#bodyBytes = 0;

	constructor(address) {
		const [host, port] = address.split(':');
		this.socket = connect({host, port: Number(port), noDelay: true});
		this.socket.on('data', data => {
			this.#received.push(data);
			this.#read();
		});
		this.socket.on('error', error => {
			this.ended = error.code ?? error.message;
		});
		this.socket.on('close', () => {
			this.ended ??= 'closed';
			for (const {resolve} of this.#pending.splice(0)) {
				resolve({error: this.ended, atMs: performance.now()});
			}
		});
	}

	/** Sends requests in one write; returns a promise of the answer of each. An answer is `{status, id, headers, body, atMs}` or `{error, atMs}`. */
	send(requests) {
		const promises = requests.map(() => new Promise(resolve => {
			if (this.ended === undefined) {
				this.#pending.push({resolve});
			} else {
				resolve({error: this.ended, atMs: performance.now()});
			}
		}));
		this.socket.write(requests.map(request => format(request)).join(''));
		return promises;
	}

	/** Reads no faster than this for some time, and as fast as it can then. */
	readAtMost(bytesPerS, durationMs) {
		const stepMs = 20;
		const {socket} = this;
		socket.removeAllListeners('data');
		socket.pause();
		let allowedBytes = 0;
		const endsAtMs = performance.now() + durationMs;
		const timer = setInterval(() => {
			allowedBytes = performance.now() > endsAtMs ? Number.MAX_SAFE_INTEGER : Math.min(bytesPerS, allowedBytes + (bytesPerS * stepMs / 1000));
			// The stream ends only once all of it was read.
			const data = socket.read(Math.min(Math.floor(allowedBytes), socket.readableLength)) ?? socket.read(0);
			if (data !== null) {
				allowedBytes -= data.length;
				this.#received.push(data);
				this.#read();
			}
		}, stepMs);
		socket.once('close', () => {
			clearInterval(timer);
		});
	}

	close() {
		this.socket.destroy();
	}

	#read() {
		for (;;) {
			if (this.#head === undefined) {
				const data = Buffer.concat(this.#received);
				const end = data.indexOf(headEnd);
				this.#received = [data];
				if (end === -1) {
					return;
				}

				this.#head = parseHead(data.subarray(0, end).toString('latin1'));
				this.#received = [data.subarray(end + headEnd.length)];
			}

			this.#bodyBytes = this.#received.reduce((sum, {length}) => sum + length, 0);
			const length = Number(this.#head.headers['content-length'] ?? 0);
			if (this.#bodyBytes < length) {
				return;
			}

			const data = Buffer.concat(this.#received);
			const answer = {...this.#head, body: data.subarray(0, length).toString('latin1'), atMs: performance.now()};
			this.#head = undefined;
			this.#received = [data.subarray(length)];
			this.#pending.shift()?.resolve(answer);
		}
	}
}

function format({method = 'GET', path, host, id, deadlineMs, body, headers = {}}) {
	return [
		`${method} ${path} HTTP/1.1`,
		`Host: ${host}`,
		`X-Request-Id: ${id}`,
		`X-Deadline-Ms: ${deadlineMs}`,
		...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
		...(body === undefined ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
		'',
		body ?? '',
	].join('\r\n');
}

function parseHead(text) {
	const [statusLine, ...lines] = text.split('\r\n');
	const headers = Object.fromEntries(lines.map(line => {
		const colon = line.indexOf(':');
		return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
	}));
	return {status: Number(statusLine.split(' ', 2)[1]), headers, id: headers['x-request-id']};
}
