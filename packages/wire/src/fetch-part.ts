import {Buffer} from 'node:buffer';
import {type ConfigPartReplyBody} from './messages.js';

/** Fetches a configuration part section by section; undefined if the peer does not hold it, announces more than `maxBytes` or sends an empty section before the end. */
export async function fetchConfigPart(requestSection: (offsetBytes: number) => Promise<ConfigPartReplyBody>, maxBytes = Number.POSITIVE_INFINITY): Promise<Buffer | undefined> {
	const sections: Uint8Array[] = [];
	let offsetBytes = 0;
	for (;;) {
		const {content, sizeBytes} = await requestSection(offsetBytes);
		if (!(content instanceof Uint8Array) || sizeBytes > maxBytes || (content.length === 0 && offsetBytes < sizeBytes)) {
			return undefined;
		}

		sections.push(content);
		offsetBytes += content.length;
		if (offsetBytes >= sizeBytes) {
			return Buffer.concat(sections);
		}
	}
}
