import {checkSettings, createHost} from 'guavaseam';

const host = createHost(
  checkSettings({
    host: 'library-1',
    fleet: 'library',
    zone: 'a',
    region: 'r',
    callers: {address: '127.0.0.1', port: 0},
    peers: {address: '127.0.0.1', port: 0, tls: {mode: 'plain'}},
    platform: {logUrl: process.argv[2] ?? 'http://127.0.0.1:7000'},
    logLevel: 'warn',
  }),
);
const {callersPort} = await host.start();
console.log(`listening on 127.0.0.1:${callersPort}`);
process.once('SIGTERM', () => void host.stop());
