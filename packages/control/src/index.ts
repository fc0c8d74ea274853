export * from './admin-server.js';
export * from './control-daemon.js';
export * from './daemon-hub.js';
export * from './platform-lists.js';
export * from './settings.js';
