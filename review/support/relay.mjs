/** A TCP relay whose open connections can go silent, while new ones work. For the scripts of the review only. */
import { connect, createServer } from 'node:net'

/** Opens a relay on a free port of a loopback address, in front of an endpoint of the form IP:PORT. */
export async function openRelay (address, endpoint) {
  const [targetAddress, targetPort] = endpoint.split(':')
  const links = new Set()
  const server = createServer({ allowHalfOpen: true }, inbound => {
    const outbound = connect({ host: targetAddress, port: Number(targetPort), allowHalfOpen: true, noDelay: true })
    const link = { isSilent: false }
    links.add(link)
    inbound.setNoDelay(true)
    inbound.on('data', chunk => { if (!link.isSilent) outbound.write(chunk) })
    outbound.on('data', chunk => { if (!link.isSilent) inbound.write(chunk) })
    inbound.on('end', () => { if (!link.isSilent) outbound.end() })
    outbound.on('end', () => { if (!link.isSilent) inbound.end() })
    inbound.on('error', () => {}).on('close', () => {
      links.delete(link)
      outbound.destroy()
    })
    outbound.on('error', () => {}).on('close', () => { if (!link.isSilent) inbound.destroy() })
  })
  await new Promise(resolve => { server.listen(0, address, resolve) })
  return {
    endpoint: `${address}:${server.address().port}`,
    /** Silences the connections that are open now; returns their number. */
    silence: () => {
      for (const link of links) link.isSilent = true
      return links.size
    }
  }
}
