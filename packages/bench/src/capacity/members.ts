import {SystemTimerService} from '@fescuewick/core';
import {
	createMesh, MemberTable, persistentPeers, type Member, type PeerMesh,
} from '@fescuewick/membership';
import {
	encodeFrame, MemoryNetwork, MessageType, type MemberDigestBody,
} from '@fescuewick/wire';
import {
	cpuUsPerCall, fitSlope, measureMemory, type Section,
} from './measure.js';
import {incarnationOf, vmRecord, vmRecords} from './records.js';
import {designSize} from './sizes.js';

const tableSizes = [760, 2533, 7600] as const;
const domains = 3;
const nodesPerDomain = [4, 8, 16] as const;
const warmUpMs = 3000;
const windowMs = 4500;

/** Measures a node's member table by its size, and the bytes that the other nodes send when one member is replaced. */
export async function measureMembers(): Promise<Section> {
	const timers = new SystemTimerService();
	const tableRows = tableSizes.map(size => measureTable(timers, size));
	const changeRows = await Promise.all(nodesPerDomain.map(async nodes => measureChange(timers, nodes)));
	return {
		role: 'Members',
		tables: [{
			title: `Table of members, in ${designSize.domains} failure domains`,
			columns: [
				'members',
				'memory, bytes per member',
				'judging all, CPU µs',
				'summary, CPU µs',
				'list of members, CPU µs',
				'choice of standing links, CPU µs',
				'standing links chosen',
				'full digest, bytes',
				'full digest encoded, CPU µs',
				'full digest merged, CPU µs',
			],
			rows: tableRows,
		}, {
			title: 'One member killed and replaced; bytes sent by all others beyond heartbeats',
			columns: [
				'nodes',
				'links of a node',
				'bytes per node and replacement',
				'bytes per link and replacement',
				'full views received by the new node',
				'full views sent by all nodes in a steady window before',
			],
			rows: changeRows,
		}],
		slopes: [
			fitSlope('memory of the table', 'B per member', tableRows.map(row => [row[0], row[0] * row[1]])),
			fitSlope('judging all members, each 250 ms', 'µs per member', tableRows.map(row => [row[0], row[2]])),
			fitSlope('summary of the view', 'µs per member', tableRows.map(row => [row[0], row[3]])),
			fitSlope('list of members', 'µs per member', tableRows.map(row => [row[0], row[4]])),
			fitSlope('choice of standing links', 'µs per member', tableRows.map(row => [row[0], row[5]])),
			fitSlope('bytes of a full digest', 'B per member', tableRows.map(row => [row[0], row[7]])),
			fitSlope('bytes of a replacement by links of the sender', 'B per link', changeRows.map(row => [row[1], row[2]])),
		],
	};
}

function measureTable(timers: SystemTimerService, size: number): number[] {
	const [self, ...others] = vmRecords(size, designSize.domains);
	const body: MemberDigestBody = {members: others.map(record => ({record, incarnation: incarnationOf(record.vm), heardAgeMs: 0}))};
	const fill = (table: MemberTable) => {
		// Each member's record and incarnation are separate objects, as after decoding.
		table.merge(structuredClone(body), 'nobody');
		return table;
	};

	const create = () => new MemberTable(self.vm, timers, () => {/* Changes are not forwarded. */});
	fill(create());
	const {value: table, sizeBytes} = measureMemory(() => fill(create()));
	const incarnation = incarnationOf(self.vm);
	const members: Member[] = [...table.members()];
	let links = 0;
	const standingUs = cpuUsPerCall(() => {
		links = persistentPeers(self, members).size;
	});
	const digest = {members: table.digest(others.map(record => record.vm))};
	return [
		size,
		sizeBytes / size,
		cpuUsPerCall(() => {
			table.evaluate();
		}),
		cpuUsPerCall(() => table.summary(self, incarnation)),
		cpuUsPerCall(() => [...table.members()]),
		standingUs,
		links,
		encodeDigest(digest).length,
		cpuUsPerCall(() => encodeDigest(digest)),
		cpuUsPerCall(() => table.merge(digest, 'nobody')),
	];
}

/** Encodes a full view as digests of 500 members, as each digest must fit into a frame. */
function encodeDigest({members}: MemberDigestBody): Uint8Array {
	const frames: Uint8Array[] = [];
	for (let index = 0; index < members.length; index += 500) {
		frames.push(encodeFrame(MessageType.memberDigest, 0, {members: members.slice(index, index + 500)}));
	}

	return new Uint8Array(frames.reduce((sum, frame) => sum + frame.length, 0));
}

async function measureChange(timers: SystemTimerService, nodes: number): Promise<number[]> {
	const network = new MemoryNetwork(timers);
	const count = nodes * domains;
	let fullViews = 0;
	let newNodeFullViews = 0;
	const start = async (index: number, run: number): Promise<PeerMesh> => {
		const record = vmRecord(index, domains, `host-${index}:1`);
		const mesh = createMesh({timers, transport: () => network.transport(`host-${index}`)}, record, {seeds: index === 0 ? ['host-1:1'] : ['host-0:1'], run});
		mesh.on(MessageType.memberDigest, ({members}) => {
			fullViews += members.length > count / 2 ? 1 : 0;
			newNodeFullViews += run === 1 && members.length > count / 2 ? 1 : 0;
		});
		await mesh.start();
		return mesh;
	};

	const meshes = await Promise.all(Array.from({length: count}, async (_, index) => start(index, 0)));
	await timers.sleep(warmUpMs);
	const bytesBefore = network.bytesSent;
	const viewsBefore = fullViews;
	await timers.sleep(windowMs);
	const steadyBytes = network.bytesSent - bytesBefore;
	const steadyViews = fullViews - viewsBefore;
	const links = meshes.reduce((sum, mesh) => sum + mesh.linkCount, 0) / count;
	const last = count - 1;
	network.kill(`host-${last}`);
	await meshes[last].stop();
	meshes[last] = await start(last, 1);
	const bytesBeforeReplacement = network.bytesSent;
	await timers.sleep(windowMs);
	const bytes = (network.bytesSent - bytesBeforeReplacement - steadyBytes) / count;
	for (const mesh of meshes) {
		await mesh.stop();
	}

	return [count, links, bytes, bytes / links, newNodeFullViews, steadyViews];
}
