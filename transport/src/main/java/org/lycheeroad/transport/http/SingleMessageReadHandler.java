package org.lycheeroad.transport.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;

/**
 * Keeps each read pending until one message has been delivered.
 *
 * <p>Must follow a {@code FlowControlHandler} in the pipeline, which drops pending reads at the end
 * of each network read, even if no complete message had arrived by then.
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
