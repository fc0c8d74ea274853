import {Buffer} from 'node:buffer';
import {connect} from 'node:net';

/** The answer to a request that was sent ahead; `error` says why there is none. */
export type AheadAnswer = {readonly status?: number; readonly code?: number; readonly error?: string; readonly endedAtMs: number};

type AheadOptions = {
	/** `ip:port` of the VM. */
	readonly address: string;
	/** Heads of requests without bodies. */
	readonly heads: readonly string[];
	readonly timeoutMs: number;
	readonly nowMs: () => number;
};

/** Sends requests one behind the other on a new connection, without waiting for answers, and resolves with their answers in order; never sends one again. HTTP clients send requests again by themselves whose connection ends behind an earlier answer. */
export async function sendAhead({address, heads, timeoutMs, nowMs}: AheadOptions): Promise<AheadAnswer[]> {
	return new Promise(resolve => {
		const answers: AheadAnswer[] = [];
		let received = Buffer.alloc(0);
		let error = 'the connection ended';
		const {hostname, port} = new URL(`http://${address}`);
		const socket = connect(Number(port), hostname, () => {
			socket.write(heads.join(''));
		});
		const timer = setTimeout(() => {
			socket.destroy(new Error(`no answer within ${timeoutMs} ms`));
		}, timeoutMs);
		socket.on('data', chunk => {
			received = Buffer.concat([received, chunk]);
			for (let headEnd = received.indexOf('\r\n\r\n'); headEnd !== -1; headEnd = received.indexOf('\r\n\r\n')) {
				const head = received.subarray(0, headEnd).toString('latin1');
				const end = headEnd + 4 + Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0);
				if (received.length < end) {
					return;
				}

				const code = /^x-fescuewick-code: *(\d+)/im.exec(head)?.[1];
				answers.push({status: Number(head.split(' ', 2)[1]), code: code === undefined ? undefined : Number(code), endedAtMs: nowMs()});
				received = received.subarray(end);
			}

			if (answers.length === heads.length) {
				socket.destroy();
			}
		});
		socket.on('error', ({message}) => {
			error = message;
		});
		socket.on('close', () => {
			clearTimeout(timer);
			resolve(heads.map((_, index) => answers[index] ?? {error, endedAtMs: nowMs()}));
		});
	});
}
