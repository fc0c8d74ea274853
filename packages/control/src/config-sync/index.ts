export * from './config-sync.js';
export * from './relay-tree.js';
export {maxStaleReadDelayMs, staleAfterMs, staleReadIntervalMs} from './store-reader.js';
export {fetchPeerPart, sectionOf} from './part-transfer.js';
