import {
	encodeFrame, FrameDecoder, MessageType, ShareKind, type ShareDemand, type ShareGrant,
} from '@fescuewick/wire';
import {cpuUsPerCall, fitSlope, type Section} from './measure.js';

const sizes = [8, 100, 1000] as const;

/** Measures the bytes and the CPU time of the messages of a share renewal by the number of a holder's active workspaces. */
export async function measureShares(): Promise<Section> {
	const rows = sizes.map(size => measureSize(size));
	return {
		role: 'Shares, message encoding only',
		tables: [{
			title: 'One renewal of a holder, each second',
			columns: ['active workspaces', 'request bytes', 'grants bytes', 'request encoded and decoded, CPU µs', 'grants encoded and decoded, CPU µs'],
			rows,
		}],
		slopes: [
			fitSlope('request bytes', 'B per workspace', rows.map(row => [row[0], row[1]])),
			fitSlope('grants bytes', 'B per workspace', rows.map(row => [row[0], row[2]])),
			fitSlope('processor time of both ends, encoding only', 'µs per workspace', rows.map(row => [row[0], row[3] + row[4]])),
		],
	};
}

function measureSize(size: number): number[] {
	const demands = Array.from({length: size}, (_, index): ShareDemand => ({
		kind: ShareKind.rate,
		resource: `workspace-${String(index).padStart(4, '0')}`,
		wanted: 1.234_567,
		tokens: 2.345_678,
		held: {
			epoch: 3, sequence: 12_345, ratePerS: 1.5, burst: 4.25, slots: 0, connections: 0, surrenderedTokens: 0.5,
		},
		seenEpoch: 3,
	}));
	const grants = demands.map(({kind, resource}): ShareGrant => ({
		kind, resource, ratePerS: 1.234_567, burst: 4.25, addedTokens: 0.345_678, slots: 0, connections: 0, expiresInMs: 4000, epoch: 3, sequence: 12_346,
	}));
	const request = () => encodeFrame(MessageType.shareRequest, 7, {holder: 'vm-00001.mg1x7a2k.9f3a6c1d', epoch: 3, demands});
	const reply = () => encodeFrame(MessageType.reply, 7, {epoch: 3, grants});
	const decode = (frame: Parameters<FrameDecoder['push']>[0]) => [...new FrameDecoder().push(frame)];
	return [size, request().length, reply().length, cpuUsPerCall(() => decode(request())), cpuUsPerCall(() => decode(reply()))];
}
