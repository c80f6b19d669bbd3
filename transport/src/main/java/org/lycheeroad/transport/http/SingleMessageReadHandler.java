package org.lycheeroad.transport.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;

/**
 * Makes a read mean "one more message", whenever that message arrives.
 *
 * <p>Stands behind a {@code FlowControlHandler}, which counts reads and forgets them at the end of
 * each network read, even if no message was complete by then.
 */
public final class SingleMessageReadHandler extends ChannelDuplexHandler {
    private boolean mReadPending;

    @Override
    public void read(ChannelHandlerContext context) {
        if (!mReadPending) {
            mReadPending = true;
            context.read();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mReadPending = false;
        context.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mReadPending) {
            context.read();
        }
        context.fireChannelReadComplete();
    }
}
