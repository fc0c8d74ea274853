import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {Command} from 'commander';
import {createSilentLogger, hashFraction, ManualTimerService} from '@fescuewick/core';
import {
	LookupResolver,
	AddressFamily, makeBlock, parseClientBlock, type ClientBlock, formatBlock, BlockTable, chunkCountFor, decodeChunk, encodeBlocks,
} from '@fescuewick/lookup';
import {measureHttp, median} from './measure-http.js';
import {makeSnapshot} from './measure-snapshot.js';

const tableSizes = [7700, 77_000, 770_000];
const lookupsPerRun = 1_000_000;
const controllerSteps = 200;

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

/** A reproducible 32-bit pseudorandom number. */
function random32(seed: string): number {
	return Math.floor(hashFraction(seed) * 0x1_00_00_00_00);
}

/** Creates the table entry with the given index. One entry in four is an IPv6 block with a prefix of 32 to 48 bits, the others are IPv4 blocks with prefixes of 20 to 24 bits; their regions are 1,900 sites. */
function randomEntry(index: number): {block: ClientBlock; region: string} {
	const high = random32(`high-${index}`);
	const low = random32(`low-${index}`);
	const block = index % 4 === 0 ? makeBlock(AddressFamily.v6, high, low, 32 + (8 * (low % 3))) : makeBlock(AddressFamily.v4, high, 0, 20 + (low % 5));
	return {block, region: `site-${high % 1900}`};
}

function measureTable(size: number): void {
	const entries = Array.from({length: size}, (_, index) => randomEntry(index));
	const records = entries.map(({block, region}) => ({block: formatBlock(block), region}));
	const buildsMs: number[] = [];
	let table = new BlockTable();
	for (let round = 0; round < 5; round++) {
		const startMs = performance.now();
		table = BlockTable.from(records);
		buildsMs.push(performance.now() - startMs);
	}

	const probes = Array.from({length: 4096}, (_, index) => {
		const {block} = entries[(index * 7919) % size];
		return makeBlock(block.family, block.high + (index % 200), block.low, block.family === AddressFamily.v4 ? 32 : 64);
	});
	const ratesPerS: number[] = [];
	for (let round = 0; round < 5; round++) {
		const startMs = performance.now();
		let matchCount = 0;
		for (let index = 0; index < lookupsPerRun; index++) {
			matchCount += table.match(probes[index % 4096]) === undefined ? 0 : 1;
		}

		ratesPerS.push(matchCount > 0 ? lookupsPerRun * 1000 / (performance.now() - startMs) : 0);
	}

	const updatesMs = Array.from({length: 5}, () => {
		const startMs = performance.now();
		table.update(records.slice(0, 100).map(({block}) => ({block, region: 'site-1'})), records.slice(100, 120).map(({block}) => block));
		return performance.now() - startMs;
	});
	const chunkCount = chunkCountFor(size);
	const {index, chunks} = encodeBlocks(records, 1, chunkCount);
	const loadStartMs = performance.now();
	const loaded = new BlockTable();
	let maxChunkLoadMs = 0;
	for (const [number, chunk] of chunks.entries()) {
		const startMs = performance.now();
		const rows = decodeChunk(chunk.content, index.chunkHashes[number]);
		loaded.reserve(rows.map(row => row.block));
		for (const {block, region} of rows) {
			loaded.set(block, region);
		}

		maxChunkLoadMs = Math.max(maxChunkLoadMs, performance.now() - startMs);
	}

	const loadMs = performance.now() - loadStartMs;
	const maxChunkBytes = Math.max(...chunks.map(chunk => JSON.stringify(chunk).length));
	print([
		`${size} blocks: ${table.size} entries`,
		`${(table.sizeBytes / table.size).toFixed(1)} B per entry`,
		`build ${median(buildsMs).toFixed(0)} ms`,
		`${(median(ratesPerS) / 1e6).toFixed(2)} M look-ups/s`,
		`update of 120 entries ${median(updatesMs).toFixed(2)} ms`,
		`${chunkCount} chunks of at most ${(maxChunkBytes / 1000).toFixed(0)} KB`,
		`load ${loadMs.toFixed(0)} ms, longest chunk ${maxChunkLoadMs.toFixed(1)} ms`,
	].join(', '));
}

async function measureController(regions: number, vms: number): Promise<void> {
	const timers = new ManualTimerService();
	const resolver = new LookupResolver({
		timers, logger: createSilentLogger(), location: {vm: 'vm-0', failureDomain: 'region-00-1', region: 'region-00'}, lookupTtlMs: 5000, nearestRegions: {}, blocks: new BlockTable(),
	});
	const snapshot = makeSnapshot({regions, vms, services: 2});
	const updatesMs: number[] = [];
	const stepsMs: number[] = [];
	for (let round = 0; round < controllerSteps; round++) {
		await timers.advance(1000);
		let startMs = performance.now();
		resolver.update(snapshot);
		updatesMs.push(performance.now() - startMs);
		startMs = performance.now();
		resolver.controller.step();
		stepsMs.push(performance.now() - startMs);
	}

	const size = `${regions} regions, ${regions * 2} failure domains, ${vms} VMs, 2 services`;
	print(`${size}: controller step ${median(stepsMs).toFixed(2)} ms, snapshot with step ${median(updatesMs).toFixed(2)} ms (medians of ${controllerSteps})`);
}

async function measureAnswers(): Promise<void> {
	const timers = new ManualTimerService();
	const blocks = BlockTable.from(Array.from({length: 256}, (_, index) => ({block: `10.0.${index}.0/24`, region: `region-0${index % 3}`})));
	const resolver = new LookupResolver({
		timers, logger: createSilentLogger(), location: {vm: 'vm-0', failureDomain: 'region-00-1', region: 'region-00'}, lookupTtlMs: 5000, nearestRegions: {}, blocks,
	});
	resolver.update(makeSnapshot({regions: 3, vms: 11, services: 2}));
	const clients = Array.from({length: 4096}, (_, index) => parseClientBlock(`10.0.${index % 256}.${Math.floor(index / 16)}`)!);
	const ratesPerS = Array.from({length: 5}, () => {
		const startMs = performance.now();
		for (let index = 0; index < lookupsPerRun; index++) {
			resolver.answerFor('service-0', clients[index % 4096]);
		}

		return lookupsPerRun * 1000 / (performance.now() - startMs);
	});
	print(`answers without HTTP: ${(median(ratesPerS) / 1e6).toFixed(2)} M/s`);
}

const options = new Command('measure')
	.description('Measures look-ups; redirect the log of the daemon (stderr) to a file or to /dev/null')
	.option('--rounds <n>', 'rounds of the HTTP comparison', '5')
	.option('--no-http', 'skip the HTTP comparison')
	.parse()
	.opts<{rounds: string; http: boolean}>();
if (options.http) {
	const results = await measureHttp(Number(options.rounds));
	for (const {name, perSecond, perCpuSecond} of results) {
		print(`${name}: ${perCpuSecond.toFixed(0)} per second of processor time, ${(perCpuSecond / results[0].perCpuSecond).toFixed(2)} times the bare handler (${perSecond.toFixed(0)} per second)`);
	}
}

await measureAnswers();
for (const size of tableSizes) {
	measureTable(size);
}

for (const [regions, vms] of [[3, 11], [12, 11], [12, 633], [12, 7600]]) {
	await measureController(regions, vms);
}
