import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import {splitAddress} from './record.js';

/** A TCP proxy on the path to `target`, whose open connections can go silent while new ones work. */
export class Proxy {
	#pairs = new Set();
	#server = createServer(socket => {
		this.#connect(socket);
	});

	constructor(target) {
		this.target = target;
	}

	async listen() {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.address = `127.0.0.1:${this.#server.address().port}`;
	}

	/** From now on nothing is passed on over the connections that are open, and neither end is told; returns their number. */
	silence() {
		for (const {inner, outer} of this.#pairs) {
			for (const socket of [inner, outer]) {
				socket.removeAllListeners('data');
				socket.removeAllListeners('end');
				socket.removeAllListeners('close');
				socket.resume();
			}
		}

		const silenced = this.#pairs.size;
		this.#pairs.clear();
		return silenced;
	}

	close() {
		this.#server.close();
		for (const {inner, outer} of this.#pairs) {
			inner.destroy();
			outer.destroy();
		}
	}

	#connect(outer) {
		const {hostname, port} = splitAddress(this.target);
		const inner = connect({host: hostname, port, allowHalfOpen: true});
		const pair = {inner, outer};
		this.#pairs.add(pair);
		for (const [from, to] of [[inner, outer], [outer, inner]]) {
			from.setNoDelay(true);
			from.on('error', () => undefined);
			from.on('data', chunk => to.write(chunk));
			from.on('end', () => to.end());
			from.on('close', () => {
				to.destroy();
				this.#pairs.delete(pair);
			});
		}
	}
}
