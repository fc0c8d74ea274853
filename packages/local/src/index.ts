export * from './demo-configuration.js';
export * from './deployment.js';
export * from './loopback-host.js';
export * from './routes.js';
export * from './topology.js';
export * from './vm.js';
