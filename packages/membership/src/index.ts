export * from './fake-peer-network.js';
export * from './peer-mesh.js';
export * from './peer-network.js';
export type * from './random.js';
export * from './mesh-fixture.js';
export * from './topology.js';
export * from './member-table.js';
